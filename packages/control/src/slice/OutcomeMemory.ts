import type { RequestOutcome } from "@skylarkpath/common/model/Request";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Final outcome of a request with its team and queue. */
export interface RememberedOutcome {
    readonly team: string;
    readonly queue: string;
    readonly outcome: RequestOutcome;
}

/** Remembers final outcomes for some time, to answer callers without the store. */
export class OutcomeMemory {
    private readonly outcomes = new Map<string, RememberedOutcome>();

    constructor(private readonly timer: TimerService, private readonly memoryMs: number) {}

    /** Finds the final outcome of a request that ended lately. */
    public find(requestId: string): RememberedOutcome | undefined {
        return this.outcomes.get(requestId);
    }

    /** Remembers the final outcome of a request. */
    public add(requestId: string, remembered: RememberedOutcome): void {
        this.outcomes.set(requestId, remembered);
        this.timer.after(this.memoryMs, () => this.outcomes.delete(requestId));
    }
}
