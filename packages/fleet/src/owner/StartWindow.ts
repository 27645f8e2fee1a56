import type { TimerService } from "@skylarkpath/common/time/TimerService";

const MAX_LIMIT = 256;
const MIN_LIMIT = 4;
/** Above this event-loop delay the limit shrinks: the owner's row must be confirmed several times a second. */
const HIGH_LOOP_DELAY_MS = 200;
/** Below this event-loop delay the limit grows. */
const LOW_LOOP_DELAY_MS = 150;
const SHRINK_FACTOR = 0.7;
const GROWTH = 8;
/** Time between two changes of the limit: one sample of the event-loop delay. */
const ADJUSTMENT_INTERVAL_MS = 100;

/**
 * Limits the start orders without a reply. Answers overload of the owner: it then starts fewer tasks at a time, the most
 * urgent first, and has time left to confirm its row, to extend leases and to record the ends of tasks.
 */
export class StartWindow {
    private limit = MAX_LIMIT;
    private inFlight = 0;
    private adjustedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly timer: TimerService, private readonly loopDelayMs: () => number) {}

    /** Whether another task, or all members of another gang, may be started now. */
    public get open(): boolean {
        return this.inFlight < this.limit;
    }

    /** Start orders without a reply so far. */
    public get inFlightCount(): number {
        return this.inFlight;
    }

    /** Adapts the limit to the event-loop delay. */
    public adjust(): void {
        const nowMs = this.timer.nowMs();
        if (nowMs < this.adjustedAtMs + ADJUSTMENT_INTERVAL_MS) {
            return;
        }
        this.adjustedAtMs = nowMs;
        const delayMs = this.loopDelayMs();
        if (delayMs > HIGH_LOOP_DELAY_MS) {
            this.limit = Math.max(MIN_LIMIT, Math.floor(this.limit * SHRINK_FACTOR));
        }
        else if (delayMs < LOW_LOOP_DELAY_MS) {
            this.limit = Math.min(MAX_LIMIT, this.limit + GROWTH);
        }
    }

    /** Records that a start order was sent. */
    public begin(): void {
        this.inFlight++;
    }

    /** Records the reply to a start order, or that none came. */
    public end(): void {
        this.inFlight--;
    }
}
