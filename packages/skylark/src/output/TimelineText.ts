import type { TimelineReply } from "@skylarkpath/common/api/OperatorsApi";
import type { TimelineEvent } from "@skylarkpath/common/log/EventLog";
import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";
import { renderTime } from "./Time.js";

/** Renders events one a line. */
export function renderTimeline(timeline: TimelineReply): string {
    return timeline.events.map(event => escapeControlCharacters(renderEvent(event))).join("\n");
}

function renderEvent(event: TimelineEvent): string {
    const fields = Object.entries(event.fields)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${typeof value === "string" ? JSON.stringify(value) : value}`);
    return [
        `${renderTime(event.time.wallClockMs)}+${event.time.counter}`,
        event.processId,
        event.number,
        event.name,
        ...(event.requestId === undefined ? [] : [`request=${event.requestId}`]),
        ...fields
    ].join(" ");
}
