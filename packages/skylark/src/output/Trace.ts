import type { TimelineReply } from "@skylarkpath/common/api/OperatorsApi";
import type { EventFields, TimelineEvent } from "@skylarkpath/common/log/EventLog";

/** Event of the Chrome trace event format, which defines the field names. */
export interface TraceEvent {
    readonly name: string;
    /** Phase: metadata (M), instant (i), or begin (b), step (n) and end (e) of a nested asynchronous span. */
    readonly ph: "M" | "i" | "b" | "n" | "e";
    /** Timestamp in microseconds. */
    readonly ts: number;
    readonly pid: number;
    readonly tid: number;
    readonly cat?: string;
    readonly id?: string;
    readonly s?: "p";
    readonly args: EventFields;
}

/** Document of the Chrome trace event format. */
export interface Trace {
    readonly displayTimeUnit: "ms";
    readonly traceEvents: readonly TraceEvent[];
    readonly otherData: { readonly notReached: string; };
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const MAX_COUNTER_MICROSECONDS = 999;
const REQUEST_CATEGORY = "request";

/** Converts a timeline to the Chrome trace event format, with a span for each request. */
export function createTrace(timeline: TimelineReply): Trace {
    const processIds = [...new Set(timeline.events.map(({ processId }) => processId))];
    const processNumbers = new Map(processIds.map((processId, index) => [processId, index + 1]));
    const processNumberOf = (event: TimelineEvent) => processNumbers.get(event.processId) ?? 0;
    return {
        displayTimeUnit: "ms",
        traceEvents: [
            ...[...processNumbers].map(([processId, processNumber]) =>
                createProcessNameEvent(processId, processNumber)
            ),
            ...timeline.events.map(event => createInstantEvent(event, processNumberOf(event))),
            ...createRequestSpans(timeline.events, processNumberOf)
        ],
        otherData: { notReached: timeline.notReached.join(", ") }
    };
}

function createProcessNameEvent(processId: string, processNumber: number): TraceEvent {
    return { name: "process_name", ph: "M", ts: 0, pid: processNumber, tid: 0, args: { name: processId } };
}

function createInstantEvent(event: TimelineEvent, processNumber: number): TraceEvent {
    return {
        name: event.name,
        ph: "i",
        ts: microsecondsOf(event),
        pid: processNumber,
        tid: 0,
        s: "p",
        args: argumentsOf(event)
    };
}

function createRequestSpans(
    events: readonly TimelineEvent[],
    processNumberOf: (event: TimelineEvent) => number
): readonly TraceEvent[] {
    const eventsByRequest = new Map<string, TimelineEvent[]>();
    for (const event of events) {
        if (event.requestId !== undefined) {
            const requestEvents = eventsByRequest.get(event.requestId) ?? [];
            requestEvents.push(event);
            eventsByRequest.set(event.requestId, requestEvents);
        }
    }
    return [...eventsByRequest].flatMap(([requestId, requestEvents]) =>
        createRequestSpan(requestId, requestEvents, processNumberOf(requestEvents[0]))
    );
}

/** Viewers match the parts of a span by category, id and process, so all parts get the process of the first event. */
function createRequestSpan(
    requestId: string,
    events: readonly TimelineEvent[],
    processNumber: number
): readonly TraceEvent[] {
    const shared = { pid: processNumber, tid: 0, cat: REQUEST_CATEGORY, id: requestId };
    const first = events[0];
    const last = events[events.length - 1];
    return [
        { ...shared, name: requestId, ph: "b", ts: microsecondsOf(first), args: {} },
        ...events.map((event): TraceEvent => ({
            ...shared,
            name: event.name,
            ph: "n",
            ts: microsecondsOf(event),
            args: argumentsOf(event)
        })),
        { ...shared, name: requestId, ph: "e", ts: microsecondsOf(last), args: {} }
    ];
}

function argumentsOf(event: TimelineEvent): EventFields {
    return { ...event.fields, eventNumber: event.number, requestId: event.requestId, processId: event.processId };
}

/** Adds the clock's counter as microseconds, so that events of one millisecond stay in order. */
function microsecondsOf({ time }: TimelineEvent): number {
    const counterMicroseconds = Math.min(time.counter, MAX_COUNTER_MICROSECONDS);
    return time.wallClockMs * MICROSECONDS_PER_MILLISECOND + counterMicroseconds;
}
