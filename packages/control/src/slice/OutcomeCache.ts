import type { RequestOutcome } from "@skylarkpath/common/model/Request";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Final outcome of a request with its team and queue. */
export interface CachedOutcome {
    readonly team: string;
    readonly queue: string;
    readonly outcome: RequestOutcome;
}

/** Caches final outcomes for a fixed time, to answer callers without the store. */
export class OutcomeCache {
    private readonly outcomes = new Map<string, CachedOutcome>();

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    /** Finds the final outcome of a recently ended request. */
    public find(requestId: string): CachedOutcome | undefined {
        return this.outcomes.get(requestId);
    }

    /** Adds the final outcome of a request. */
    public add(requestId: string, cached: CachedOutcome): void {
        this.outcomes.set(requestId, cached);
        this.timer.after(this.retentionMs, () => this.outcomes.delete(requestId));
    }
}
