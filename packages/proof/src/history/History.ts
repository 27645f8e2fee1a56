import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { HistoryEvent, HistoryEventBody, HistoryEventKind, HistoryEventOf } from "./HistoryEvent.js";

/** Observable events of one run, in the order in which they happened. */
export class History {
    private readonly recordedEvents: HistoryEvent[] = [];

    constructor(private readonly timer: Pick<TimerService, "nowMs">) {}

    /** Events so far. */
    public get events(): readonly HistoryEvent[] {
        return this.recordedEvents;
    }

    /** Records an event with the current virtual time. */
    public record(body: HistoryEventBody): void {
        this.recordedEvents.push({ ...body, atMs: this.timer.nowMs() });
    }

    /** Events of one kind. */
    public eventsOfKind<K extends HistoryEventKind>(kind: K): readonly HistoryEventOf<K>[] {
        return this.recordedEvents.filter((event): event is HistoryEventOf<K> => event.kind === kind);
    }
}
