const AVOIDANCE_MS = 10_000;

/** Failed attempts of one task and the workers on which they failed. */
export class TaskFailures {
    private readonly workers = new Set<string>();
    private attemptCount = 0;
    private lastFailureAtMs = 0;

    /** Number of failed attempts. */
    public get attempts(): number {
        return this.attemptCount;
    }

    /** Distinct workers on which the task failed. */
    public get workerIds(): ReadonlySet<string> {
        return this.workers;
    }

    /** Returns whether the next attempt should avoid a worker: the task failed there and its last failure is recent. */
    public shouldAvoid(workerId: string, nowMs: number): boolean {
        return this.workers.has(workerId) && nowMs < this.lastFailureAtMs + AVOIDANCE_MS;
    }

    public add(workerId: string, nowMs: number): void {
        this.attemptCount++;
        this.workers.add(workerId);
        this.lastFailureAtMs = nowMs;
    }
}
