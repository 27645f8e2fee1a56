import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { ProgressWriter } from "./ProgressWriter.js";

/** Limit for the steps and tasks of the open occurrences of all jobs that repeat; a bound on the owner's memory. */
const MAX_TOTAL_OPEN_SIZE = 20_000;

/**
 * Opens the occurrences of jobs that are due. Jobs that repeat have equal shares of the limit for what is open at a
 * time, and at least one occurrence each, so that one of them does not keep the others from running.
 */
export class OccurrenceOpener {
    constructor(
        private readonly fleet: FleetState,
        private readonly writer: Pick<ProgressWriter, "markDirty" | "addWaiter">,
        private readonly timer: TimerService,
        /** Called when opened occurrences are committed, so that their tasks may be started. */
        private readonly onCommitted: () => void
    ) {}

    /** Opens the due occurrences of all jobs. */
    public openAllDue(): void {
        this.fleet.clockOffsetMs = this.timer.wallClockMs() - this.timer.nowMs();
        for (const job of this.fleet.jobs.values()) {
            this.openDue(job);
        }
    }

    /** Opens the due occurrences of a job. */
    public openDue(job: JobState): void {
        const wallClockMs = this.timer.wallClockMs();
        const dueMs = job.final ? undefined : job.nextDueMs;
        if (dueMs === undefined || dueMs > wallClockMs) {
            return;
        }
        if (!job.repeats) {
            job.openDueOccurrences(wallClockMs);
        }
        else if (job.openDueOccurrences(wallClockMs, MAX_TOTAL_OPEN_SIZE / this.countRepeatingJobs())) {
            this.writer.markDirty(job);
            this.writer.addWaiter({ beginBatch: () => this.onCommitted });
        }
    }

    private countRepeatingJobs(): number {
        let count = 0;
        for (const job of this.fleet.jobs.values()) {
            count += Number(job.repeats && !job.final);
        }
        return Math.max(1, count);
    }
}
