const SMOOTHING = 0.1;
const DECREASE_FACTOR = 0.9;
const MAX_LATENCY_RATIO = 10;
const FAILURE_LATENCY_RATIO = 4;

/** Number of slots of a target that are used, following its latency relative to its peers. */
export class ConcurrencyLimit {
    private limit: number;
    private smoothedRatio = 1;
    private finishedSinceDecrease = 0;

    constructor(private slots: number, private readonly slowLatencyRatio: number) {
        this.limit = slots;
    }

    /** Slots that may be in use now; at least one, so that a recovery is seen. */
    public get current(): number {
        return Math.min(this.slots, Math.max(1, Math.floor(this.limit)));
    }

    /** Takes over a new slot count. */
    public setSlots(slots: number): void {
        this.limit = this.limit >= this.slots ? slots : Math.min(this.limit, slots);
        this.slots = slots;
    }

    /** Learns from a finished look-up. */
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
