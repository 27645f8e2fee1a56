const SMOOTHING = 0.1;
const DECREASE_FACTOR = 0.9;
const MAX_LATENCY_RATIO = 10;
const FAILURE_LATENCY_RATIO = 4;

/** Adaptive limit on a target's concurrent look-ups, based on its latency relative to that of all targets. */
export class ConcurrencyLimit {
    private limit: number;
    private smoothedRatio = 1;
    private finishedSinceDecrease = 0;

    constructor(private slots: number, private readonly slowLatencyRatio: number) {
        this.limit = slots;
    }

    /** Slots that may be in use now; at least one, unless the target has none, so that its recovery is detected. */
    public get current(): number {
        return Math.min(this.slots, Math.max(1, Math.floor(this.limit)));
    }

    /** Sets the target's slot count; a limit that was not reduced follows it. */
    public setSlots(slots: number): void {
        this.limit = this.limit >= this.slots ? slots : Math.min(this.limit, slots);
        this.slots = slots;
    }

    /** Adapts the limit to a finished look-up: additive increase, multiplicative decrease; failures count as slow. */
    public observe(latencyRatio: number, succeeded: boolean): void {
        const ratio = succeeded ? Math.min(MAX_LATENCY_RATIO, latencyRatio) : FAILURE_LATENCY_RATIO;
        this.smoothedRatio += SMOOTHING * (ratio - this.smoothedRatio);
        this.finishedSinceDecrease++;
        if (this.smoothedRatio <= this.slowLatencyRatio) {
            this.limit = Math.min(this.slots, this.limit + 1 / Math.max(1, this.limit));
        }
        else if (this.finishedSinceDecrease >= this.limit) {
            this.limit = Math.max(1, this.limit * DECREASE_FACTOR);
            this.finishedSinceDecrease = 0;
        }
    }
}
