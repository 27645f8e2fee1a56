/** Count and durations of something that happens often, since it was last read. */
export interface Durations {
    readonly count: number;
    readonly meanMs: number;
    readonly maxMs: number;
}

/** Sums up durations between two readings. */
export class DurationMeter {
    private count = 0;
    private sumMs = 0;
    private maxMs = 0;

    /** Counts one. */
    public record(durationMs: number): void {
        this.count++;
        this.sumMs += durationMs;
        this.maxMs = Math.max(this.maxMs, durationMs);
    }

    /** Reads and starts anew. */
    public read(): Durations {
        const { count, sumMs, maxMs } = this;
        this.count = 0;
        this.sumMs = 0;
        this.maxMs = 0;
        return { count, meanMs: count === 0 ? 0 : sumMs / count, maxMs };
    }
}
