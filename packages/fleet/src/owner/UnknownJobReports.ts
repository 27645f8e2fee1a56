import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { WorkerState } from "../state/WorkerState.js";

/** A job that is reported again after this time is looked up again. */
const ABSENT_RETENTION_MS = 60_000;

/** Jobs that workers report runs of and that are not known, until the intake shows whether they exist. */
export class UnknownJobReports {
    private readonly workersByJob = new Map<string, Set<WorkerState>>();
    /** Jobs that the intake no longer held, with the time of that. */
    private readonly absentJobs = new Map<string, number>();

    constructor(private readonly timer: TimerService) {}

    /** The intake was read after a report of the job and does not hold it, so the job has ended. */
    public isAbsent(jobId: string): boolean {
        return this.absentJobs.has(jobId);
    }

    /** Records that a worker reports the job; returns whether it is the first one, so that the job must be looked up. */
    public add(jobId: string, worker: WorkerState): boolean {
        const workers = this.workersByJob.get(jobId);
        if (workers) {
            workers.add(worker);
            return false;
        }
        this.workersByJob.set(jobId, new Set([worker]));
        return true;
    }

    /** Removes the job and returns the workers that have reported it. */
    public take(jobId: string): readonly WorkerState[] {
        const workers = [...this.workersByJob.get(jobId) ?? []];
        this.workersByJob.delete(jobId);
        return workers;
    }

    /** Records that the intake does not hold the job. */
    public recordAbsent(jobId: string): void {
        const nowMs = this.timer.nowMs();
        for (const [id, recordedAtMs] of this.absentJobs) {
            if (recordedAtMs > nowMs - ABSENT_RETENTION_MS) {
                break;
            }
            this.absentJobs.delete(id);
        }
        this.absentJobs.set(jobId, nowMs);
    }
}
