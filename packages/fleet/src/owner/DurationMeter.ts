/** Count and durations of something that happens often, since it was last read. */
export interface Durations {
    readonly count: number;
    readonly meanMs: number;
    readonly longestMs: number;
}

/** Sums up durations between two readings. */
export class DurationMeter {
    private count = 0;
    private sumMs = 0;
    private longestMs = 0;

    /** Counts one. */
    public note(durationMs: number): void {
        this.count++;
        this.sumMs += durationMs;
        this.longestMs = Math.max(this.longestMs, durationMs);
    }

    /** Reads and starts anew. */
    public read(): Durations {
        const { count, sumMs, longestMs } = this;
        this.count = 0;
        this.sumMs = 0;
        this.longestMs = 0;
        return { count, meanMs: count === 0 ? 0 : sumMs / count, longestMs };
    }
}
