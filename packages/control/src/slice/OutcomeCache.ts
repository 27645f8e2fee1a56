import type { RequestOutcome } from "@skylarkpath/common/model/Request";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Final outcome of a request with its team and queue. */
export interface CachedOutcome {
    readonly team: string;
    readonly queue: string;
    readonly outcome: RequestOutcome;
}

/** Remembers final outcomes for some time, to answer callers without the store. */
export class OutcomeCache {
    private readonly outcomes = new Map<string, CachedOutcome>();

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    /** Finds the final outcome of a request that ended lately. */
    public find(requestId: string): CachedOutcome | undefined {
        return this.outcomes.get(requestId);
    }

    /** Remembers the final outcome of a request. */
    public add(requestId: string, cached: CachedOutcome): void {
        this.outcomes.set(requestId, cached);
        this.timer.after(this.retentionMs, () => this.outcomes.delete(requestId));
    }
}
