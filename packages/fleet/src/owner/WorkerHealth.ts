import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** A worker is quarantined after runs of this many jobs failed or stalled there without a success in between. */
const QUARANTINE_AFTER_JOBS = 2;
/**
 * Duration of the first quarantine. Until a task succeeds, one suspect job starts the next one, which is twice as long.
 */
const INITIAL_QUARANTINE_MS = 4000;
const MAX_QUARANTINE_MS = 60_000;
/** A worker with a success within this time is quarantined one suspect job later. */
const RECENT_SUCCESS_MS = 1500;

/**
 * Quarantines workers on which tasks of several jobs fail or stall. A task that has failed on several workers no longer
 * counts against a worker, since a task that fails everywhere proves nothing about the workers.
 */
export class WorkerHealth {
    constructor(private readonly timer: TimerService) {}

    /** Records a task that ended as done, which clears all suspicion of the worker. */
    public recordSuccess(worker: WorkerState): void {
        worker.lastDoneAtMs = this.timer.nowMs();
        worker.suspectJobs.clear();
        worker.suspicions = 0;
        worker.quarantines = 0;
    }

    /** Records a failed run. */
    public recordFailure(worker: WorkerState, task: TaskState): void {
        this.suspect(worker, task);
    }

    /** Records a run without progress. */
    public recordStall(worker: WorkerState, task: TaskState): void {
        this.suspect(worker, task);
    }

    private suspect(worker: WorkerState, task: TaskState): void {
        const { job } = task.step;
        const failsElsewhere = task.avoidedWorkers.size > 1;
        if (failsElsewhere) {
            return;
        }
        worker.suspectJobs.add(job.spec.id);
        worker.suspicions++;
        const nowMs = this.timer.nowMs();
        const hasRecentSuccess = worker.lastDoneAtMs !== undefined && nowMs - worker.lastDoneAtMs < RECENT_SUCCESS_MS;
        const limit = worker.quarantines > 0 ? 1 : hasRecentSuccess ? QUARANTINE_AFTER_JOBS + 1 : QUARANTINE_AFTER_JOBS;
        if (worker.suspectJobs.size >= limit) {
            const durationMs = Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** worker.quarantines);
            worker.quarantines++;
            worker.avoidedUntilMs = nowMs + durationMs;
            worker.suspectJobs.clear();
        }
    }
}
