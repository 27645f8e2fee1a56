const AVOIDANCE_MS = 10_000;

/** Failures of one task. */
export class TaskFailures {
    private readonly workers = new Set<string>();
    private attemptCount = 0;
    private lastFailureAtMs = 0;

    /** Attempts that failed. */
    public get attempts(): number {
        return this.attemptCount;
    }

    /** Distinct workers on which the task failed. */
    public get workerIds(): ReadonlySet<string> {
        return this.workers;
    }

    /** Tells whether a worker is avoided for the next attempt. */
    public avoids(workerId: string, nowMs: number): boolean {
        return this.workers.has(workerId) && nowMs < this.lastFailureAtMs + AVOIDANCE_MS;
    }

    public add(workerId: string, nowMs: number): void {
        this.attemptCount++;
        this.workers.add(workerId);
        this.lastFailureAtMs = nowMs;
    }
}
