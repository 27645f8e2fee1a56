/** Statistics of an operation since the previous reading. */
export interface Durations {
    readonly count: number;
    readonly meanMs: number;
    readonly maxMs: number;
}

/** Measures how often and for how long an operation runs between two readings. */
export class DurationMeter {
    private count = 0;
    private sumMs = 0;
    private maxMs = 0;

    /** Records one run of the operation. */
    public record(durationMs: number): void {
        this.count++;
        this.sumMs += durationMs;
        this.maxMs = Math.max(this.maxMs, durationMs);
    }

    /** Returns the statistics and resets them. */
    public read(): Durations {
        const { count, sumMs, maxMs } = this;
        this.count = 0;
        this.sumMs = 0;
        this.maxMs = 0;
        return { count, meanMs: count === 0 ? 0 : sumMs / count, maxMs };
    }
}
