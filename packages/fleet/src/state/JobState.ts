import { criticalPath } from "../model/criticalPath.js";
import { type FailedRuns, type JobProgress, NO_FAILURES, type StepProgress } from "../model/JobProgress.js";
import { isFinal, JobPhase, type JobSpec } from "../model/JobSpec.js";
import { StepState } from "./StepState.js";
import type { TaskState } from "./TaskState.js";

/**
 * Limit for the steps and tasks of the open occurrences of a job that repeats, so that its progress fits into a row of
 * the store. A larger occurrence is opened alone.
 */
export const MAX_OPEN_SIZE = 500;

/** Job whose final state is not committed yet, with its steps and tasks. */
export class JobState {
    public phase = JobPhase.Queued;
    /** Steps of the open occurrences (begun and not done), by number of the occurrence. */
    public readonly occurrences = new Map<number, readonly StepState[]>();
    public nextOccurrence = 0;
    /** Occurrences up to this number are open or done in the store. */
    private committedOccurrences = 0;
    /** The final state was committed. */
    public committed = false;
    /** Highest number of progress rows of the job that the store may have. */
    public progressRowCount = 0;
    public cancelRequested = false;
    /** Its entry has told this owner of it, so it has told no former one. */
    public reportedHere = false;
    /** Time at which its first task started under this owner. */
    public startedAtMs: number | undefined;
    /** Runs that this owner started. */
    public runCount = 0;
    /** Number of calls of `holdUntilCommitted`, and how many of them a commit covers. */
    private holdCount = 0;
    private releasedHoldCount = 0;
    /** Estimated duration of the critical path through its steps. */
    public readonly criticalPathMs: number;

    constructor(
        public readonly spec: JobSpec,
        public readonly acceptedAtMs: number,
        public readonly acceptedVersion: number,
        /** Number of the first run under this owner; runs under earlier owners have lower numbers. */
        public readonly firstRun: number,
        /** Its team was within its share of jobs per second when the job was accepted. */
        public readonly withinShare = true
    ) {
        this.criticalPathMs = criticalPath(spec.steps, step => step.estimateMs);
    }

    public get final(): boolean {
        return isFinal(this.phase);
    }

    /** Whether the job runs at set times, and not just once. */
    public get repeats(): boolean {
        return this.spec.schedule.occurrences > 0;
    }

    public get occurrenceCount(): number {
        return Math.max(1, this.spec.schedule.occurrences);
    }

    /** Whether no task may be started before the state of the job is committed. */
    public get held(): boolean {
        return this.holdCount > this.releasedHoldCount;
    }

    /** Starts no task of the job until its present state is committed. */
    public holdUntilCommitted(): void {
        this.holdCount++;
    }

    /** Makes the present state part of a commit; the returned callback marks it as committed. */
    public beginCommit(): () => void {
        const { holdCount, nextOccurrence } = this;
        return () => {
            this.releasedHoldCount = Math.max(this.releasedHoldCount, holdCount);
            this.committedOccurrences = Math.max(this.committedOccurrences, nextOccurrence);
        };
    }

    /**
     * Whether tasks of an occurrence may be started. One of a job that repeats must be open in the store first: a
     * successor that has not opened it would not know its runs and their ends.
     */
    public mayStart(occurrence: number): boolean {
        return !this.held && (!this.repeats || occurrence < this.committedOccurrences);
    }

    /** Wall-clock time at which the next occurrence is due; undefined when there is none. */
    public get nextDueMs(): number | undefined {
        if (this.nextOccurrence >= this.occurrenceCount) {
            return undefined;
        }
        return this.repeats ? this.dueMs(this.nextOccurrence) : 0;
    }

    /**
     * Time from which the duration of an occurrence counts: when it was due, or when the job was accepted if it does not
     * repeat. `clockOffsetMs` is the wall-clock time minus the timer's.
     */
    public countsFromMs(occurrence: number, clockOffsetMs: number): number {
        return this.repeats ? this.dueMs(occurrence) - clockOffsetMs : this.acceptedAtMs;
    }

    /**
     * Opens the next occurrences that are due, as long as the open ones have no more than `maxOpenSize` steps and tasks;
     * returns whether there were any. The others are opened as these end.
     */
    public openDueOccurrences(wallClockMs: number, maxOpenSize = MAX_OPEN_SIZE): boolean {
        const maxCount = Math.max(1, Math.floor(Math.min(maxOpenSize, MAX_OPEN_SIZE) / this.occurrenceSize));
        let opened = false;
        while (this.occurrences.size < maxCount) {
            const dueMs = this.nextDueMs;
            if (dueMs === undefined || dueMs > wallClockMs) {
                break;
            }
            this.open(this.nextOccurrence++);
            opened = true;
        }
        return opened;
    }

    /** Removes the occurrences that are done; returns whether the whole job is done. */
    public closeDoneOccurrences(): boolean {
        for (const [number, steps] of this.occurrences) {
            if (steps.every(step => step.done)) {
                this.occurrences.delete(number);
            }
        }
        return this.occurrences.size === 0 && this.nextOccurrence >= this.occurrenceCount;
    }

    /** Steps that are not done and whose required earlier steps are. */
    public *readySteps(): Iterable<StepState> {
        for (const steps of this.occurrences.values()) {
            for (const step of steps) {
                if (!step.done && isReady(step, steps)) {
                    yield step;
                }
            }
        }
    }

    public *openSteps(): Iterable<StepState> {
        for (const steps of this.occurrences.values()) {
            yield* steps;
        }
    }

    /** Finds a task of an open occurrence by the parts of its name. */
    public findTask(occurrence: number, step: number, index: number): TaskState | undefined {
        return this.occurrences.get(occurrence)?.[step]?.tasks[index];
    }

    /** Returns the progress to be stored, from which another owner continues. */
    public encodeProgress(): JobProgress {
        return {
            nextOccurrence: this.nextOccurrence,
            started: this.phase !== JobPhase.Queued,
            open: [...this.occurrences].map(([number, steps]) => ({
                number,
                steps: steps.every(isUntouched) ? [] : steps.map(encodeStep)
            }))
        };
    }

    /** Restores the progress that an earlier owner stored in a number of rows. */
    public restore(progress: JobProgress, rowCount = 1): void {
        this.occurrences.clear();
        this.nextOccurrence = progress.nextOccurrence;
        this.committedOccurrences = progress.nextOccurrence;
        this.progressRowCount = rowCount;
        if (progress.started) {
            this.phase = JobPhase.Running;
        }
        for (const occurrence of progress.open) {
            this.open(occurrence.number);
            const steps = this.occurrences.get(occurrence.number) ?? [];
            occurrence.steps.forEach((stored, index) => restoreStep(steps[index], stored));
        }
    }

    private dueMs(occurrence: number): number {
        const { firstStartMs, periodMs } = this.spec.schedule;
        return firstStartMs + occurrence * periodMs;
    }

    /** Number of steps and tasks of one occurrence. */
    private get occurrenceSize(): number {
        return this.spec.steps.reduce((size, { taskCount }) => size + 1 + taskCount, 0);
    }

    private open(number: number): void {
        this.occurrences.set(number, this.spec.steps.map((step, index) => new StepState(this, number, index, step)));
    }
}

function isReady(step: StepState, steps: readonly StepState[]): boolean {
    for (const number of step.spec.after) {
        if (!steps[number]?.done) {
            return false;
        }
    }
    return true;
}

/** Whether there is nothing to store of a step. */
function isUntouched(step: StepState): boolean {
    return step.doneCount === 0 && step.gangFailures.length === 0
        && step.tasks.every(task =>
            task.failures.length === 0 && task.crashedRuns.length === 0 && task.checkpoint === ""
        );
}

function encodeStep(step: StepState): StepProgress {
    const failures: Record<string, FailedRuns> = {};
    const checkpoints: Record<string, string> = {};
    const crashes: Record<string, FailedRuns> = {};
    for (const task of step.tasks) {
        if (task.failures.length > 0) {
            failures[task.index] = task.failures;
        }
        if (task.crashedRuns.length > 0 && !task.done) {
            crashes[task.index] = task.crashedRuns;
        }
        if (task.checkpoint !== "" && !task.done) {
            checkpoints[task.index] = task.checkpoint;
        }
    }
    const done = step.done ? "all" : step.doneCount === 0 ? "" : step.tasks.map(task => task.done ? "1" : "0").join("");
    const hasCrashes = Object.keys(crashes).length > 0;
    return { done, failures, checkpoints, gangFailures: step.gangFailures, ...(hasCrashes && { crashes }) };
}

function restoreStep(step: StepState | undefined, stored: StepProgress): void {
    if (!step) {
        return;
    }
    step.gangFailures = stored.gangFailures;
    for (const task of step.tasks) {
        if (stored.done === "all" || stored.done[task.index] === "1") {
            task.done = true;
            step.doneCount++;
        }
        task.failures = stored.failures[task.index] ?? NO_FAILURES;
        task.crashedRuns = stored.crashes?.[task.index] ?? NO_FAILURES;
        task.checkpoint = stored.checkpoints[task.index] ?? "";
    }
}
