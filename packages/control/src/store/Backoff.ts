import type { RandomSource } from "@skylarkpath/common/random/RandomSource";

const LEAST_PART = 0.5;

/** Delay between retries that doubles up to a limit, with jitter so that processes do not retry together. */
export class Backoff {
    private currentMs = 0;

    constructor(
        private readonly startMs: number,
        private readonly limitMs: number,
        private readonly random: RandomSource
    ) {}

    /** Returns the next delay. */
    public next(): number {
        this.currentMs = this.currentMs === 0 ? this.startMs : Math.min(this.limitMs, this.currentMs * 2);
        return this.currentMs * (LEAST_PART + (1 - LEAST_PART) * this.random.next());
    }

    /** Starts again from the shortest delay. */
    public reset(): void {
        this.currentMs = 0;
    }
}
