import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";

interface Interval {
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Times of a history at which no fault is active; bounds such as "within seconds" apply only to them. */
export class FaultFreeTime {
    private readonly faultIntervals: readonly Interval[];

    constructor(history: History) {
        const intervals: Interval[] = [];
        const openSince = new Map<string, number>();
        for (const event of history.events) {
            if (event.kind === HistoryEventKind.FaultBegan) {
                openSince.set(event.fault, event.atMs);
            }
            else if (event.kind === HistoryEventKind.FaultEnded) {
                intervals.push({ fromMs: openSince.get(event.fault) ?? 0, untilMs: event.atMs });
                openSince.delete(event.fault);
            }
        }
        openSince.forEach(fromMs => intervals.push({ fromMs, untilMs: Infinity }));
        this.faultIntervals = intervals.sort((left, right) => left.fromMs - right.fromMs);
    }

    /** Returns the earliest end of a fault-free interval of length `boundMs` that begins at `startMs` or later. */
    public deadlineOf(startMs: number, boundMs: number): number {
        let deadlineMs = startMs + boundMs;
        for (const { fromMs, untilMs } of this.faultIntervals) {
            if (fromMs <= deadlineMs && untilMs > deadlineMs - boundMs) {
                deadlineMs = untilMs + boundMs;
            }
        }
        return deadlineMs;
    }
}
