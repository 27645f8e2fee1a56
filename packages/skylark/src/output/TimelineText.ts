import type { TimelineReply } from "@skylarkpath/common/api/OperatorsApi";
import type { TimelineEvent } from "@skylarkpath/common/log/EventLog";
import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";
import { renderTime } from "./Time.js";

const REQUEST_FIELD = "requestId";

/** Renders the events of a timeline, one per line. */
export function renderTimeline(timeline: TimelineReply): string {
    return timeline.events.map(event => escapeControlCharacters(renderEvent(event))).join("\n");
}

function renderEvent(event: TimelineEvent): string {
    const requestId = event.requestId ?? event.fields[REQUEST_FIELD];
    const fields = Object.entries(event.fields)
        .filter(([name, value]) => value !== undefined && name !== REQUEST_FIELD)
        .map(([name, value]) => `${name}=${typeof value === "string" ? JSON.stringify(value) : value}`);
    return [
        `${renderTime(event.time.wallClockMs)}+${event.time.counter}`,
        event.processId,
        event.number,
        event.name,
        ...(requestId === undefined ? [] : [`request=${requestId}`]),
        ...fields
    ].join(" ");
}
