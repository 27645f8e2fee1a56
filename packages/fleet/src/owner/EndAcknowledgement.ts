import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { WorkerState } from "../state/WorkerState.js";

/** A worker does not restart and end a task within this time after a report. */
const MIN_RESTART_MS = 400;

/**
 * Decides which ended runs a poll acknowledges. The poll may reach the next incarnation of the worker, which would drop
 * as many ends of its own that nobody has read.
 */
export class EndAcknowledgement {
    /** Ends up to this number have been acknowledged. */
    private acknowledgedEnd = 0;
    private reportedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly worker: WorkerState, private readonly timer: TimerService) {}

    /**
     * Returns the number up to which the next poll acknowledges ends, of those that are committed; zero for none. While
     * runs may have ended on an incarnation that has not been seen, the worker has to report again first.
     */
    public next(committedEnd: number): number {
        if (committedEnd <= this.acknowledgedEnd) {
            return 0;
        }
        const hasReportedLately = this.timer.nowMs() < this.reportedAtMs + MIN_RESTART_MS;
        return hasReportedLately || [...this.worker.runs.values()].every(run => run.reported) ? committedEnd : 0;
    }

    /** Records the report in reply to a poll that acknowledged ends up to this number. */
    public confirm(acknowledgedEnd: number): void {
        this.acknowledgedEnd = Math.max(this.acknowledgedEnd, acknowledgedEnd);
        this.reportedAtMs = this.timer.nowMs();
    }
}
