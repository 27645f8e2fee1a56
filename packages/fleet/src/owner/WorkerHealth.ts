import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** Suspicious ends of different jobs in a row after which a worker gets no tasks for a while. */
const QUARANTINE_AFTER_JOBS = 2;
/** First time without tasks; it doubles each time that the worker fails on probation. */
const INITIAL_QUARANTINE_MS = 4000;
const MAX_QUARANTINE_MS = 60_000;
/** A worker that has ended a task well this recently is suspected later. */
const RECENT_SUCCESS_MS = 1500;

/** Suspects workers that fail or stall what they start; a job that fails everywhere condemns no worker. */
export class WorkerHealth {
    constructor(private readonly timer: TimerService) {}

    /** A task ended well: the worker is sound. */
    public recordSuccess(worker: WorkerState): void {
        worker.lastDoneAtMs = this.timer.nowMs();
        worker.suspectJobs.clear();
        worker.suspicions = 0;
        worker.quarantines = 0;
    }

    /** A run ended as failed. */
    public recordFailure(worker: WorkerState, task: TaskState): void {
        this.suspect(worker, task);
    }

    /** A run makes no progress. */
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
