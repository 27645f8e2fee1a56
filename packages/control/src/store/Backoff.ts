import type { RandomSource } from "@skylarkpath/common/random/RandomSource";

const MIN_JITTER_FACTOR = 0.5;

/** Delay between retries that doubles up to a limit, with jitter so that processes do not retry together. */
export class Backoff {
    private currentMs = 0;

    constructor(
        private readonly initialMs: number,
        private readonly maxDelayMs: number,
        private readonly random: RandomSource
    ) {}

    /** Returns the next delay. */
    public next(): number {
        this.currentMs = this.currentMs === 0 ? this.initialMs : Math.min(this.maxDelayMs, this.currentMs * 2);
        return this.currentMs * (MIN_JITTER_FACTOR + (1 - MIN_JITTER_FACTOR) * this.random.next());
    }

    /** Starts again from the shortest delay. */
    public reset(): void {
        this.currentMs = 0;
    }
}
