import type { EventDefinition, EventFields, EventLog, TimelineEvent } from "@skylarkpath/common/log/EventLog";
import { compareHybridTime, type HybridClock } from "@skylarkpath/common/time/HybridClock";

/** Receives each event as it is written, for example to log it. */
export type EventSink = (event: TimelineEvent, definition: EventDefinition) => void;

/** Selects events of the timeline. */
export interface TimelineQuery {
    readonly requestId?: string;
    /** Maximum age of the events in milliseconds. */
    readonly sinceMs?: number;
}

/** Ring buffer of the latest events of one process, in causal order; passes each event on to a sink. */
export class Timeline implements EventLog {
    private readonly ring: (TimelineEvent | undefined)[];
    private nextIndex = 0;

    constructor(
        private readonly processId: string,
        private readonly clock: HybridClock,
        capacity: number,
        private readonly sink: EventSink
    ) {
        this.ring = new Array<TimelineEvent | undefined>(capacity).fill(undefined);
    }

    public write(definition: EventDefinition, fields: EventFields = {}): void {
        const requestId = typeof fields.requestId === "string" ? fields.requestId : undefined;
        const event: TimelineEvent = {
            number: definition.number,
            name: definition.name,
            time: this.clock.tick(),
            processId: this.processId,
            requestId,
            fields
        };
        this.ring[this.nextIndex] = event;
        this.nextIndex = (this.nextIndex + 1) % this.ring.length;
        this.sink(event, definition);
    }

    /** Returns the buffered events that match a query. */
    public read(query: TimelineQuery): readonly TimelineEvent[] {
        const sinceWallClockMs = query.sinceMs === undefined
            ? -Infinity
            : this.clock.tick().wallClockMs - query.sinceMs;
        return [...this.ring.slice(this.nextIndex), ...this.ring.slice(0, this.nextIndex)]
            .filter(event => event !== undefined)
            .filter(event => event.time.wallClockMs >= sinceWallClockMs)
            .filter(event => query.requestId === undefined || event.requestId === query.requestId);
    }
}

/** Merges events of several processes in causal order. */
export function mergeEvents(parts: readonly (readonly TimelineEvent[])[]): readonly TimelineEvent[] {
    return parts.flat().sort((left, right) =>
        compareHybridTime(left.time, right.time) || left.processId.localeCompare(right.processId)
    );
}
