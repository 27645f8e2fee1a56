import type { RandomSource } from "@skylarkpath/common/random/RandomSource";

const MIN_JITTER_FACTOR = 0.5;

/** Exponential back-off with jitter, so that processes do not retry at the same time. */
export class Backoff {
    private currentMs = 0;

    constructor(
        private readonly initialMs: number,
        private readonly maxDelayMs: number,
        private readonly random: RandomSource
    ) {}

    /** Returns the delay before the next retry, in milliseconds. */
    public next(): number {
        this.currentMs = this.currentMs === 0 ? this.initialMs : Math.min(this.maxDelayMs, this.currentMs * 2);
        return this.currentMs * (MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * this.random.next());
    }

    /** Restarts from the initial delay. */
    public reset(): void {
        this.currentMs = 0;
    }
}
