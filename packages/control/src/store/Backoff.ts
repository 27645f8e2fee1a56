/** Delay between retries that doubles up to a limit. */
export class Backoff {
    private currentMs = 0;

    constructor(private readonly startMs: number, private readonly limitMs: number) {}

    /** Returns the next delay. */
    public next(): number {
        this.currentMs = this.currentMs === 0 ? this.startMs : Math.min(this.limitMs, this.currentMs * 2);
        return this.currentMs;
    }

    /** Starts again from the shortest delay. */
    public reset(): void {
        this.currentMs = 0;
    }
}
