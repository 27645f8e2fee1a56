/** Numbers of a task's failed runs. A list and not a count: workers report in any order, and more than once. */
export type FailedRuns = readonly number[];

/** Stored progress of one step. */
export interface StepProgress {
    /** One digit per task (1 when it is done), `all` when every task is done, empty when none is. */
    readonly done: string;
    /** Failed runs by task index. */
    readonly failures: Readonly<Record<string, FailedRuns>>;
    readonly checkpoints: Readonly<Record<string, string>>;
    readonly gangFailures: FailedRuns;
    /** Runs under which a worker crashed, by task index; not set by version 0.1.0. */
    readonly crashes?: Readonly<Record<string, FailedRuns>>;
}

/** Stored progress of an occurrence that is not done. */
export interface OccurrenceProgress {
    readonly number: number;
    /** Empty while there is none in any step. */
    readonly steps: readonly StepProgress[];
}

/** Stored progress of a job. */
export interface JobProgress {
    /** All earlier occurrences are open or done. */
    readonly nextOccurrence: number;
    readonly started: boolean;
    readonly open: readonly OccurrenceProgress[];
}

/** Empty list of failed runs. */
export const NO_FAILURES: FailedRuns = [];

/** Adds a failed run unless it is already listed. */
export function addFailedRun(failures: FailedRuns, run: number): FailedRuns {
    return failures.includes(run) ? failures : [...failures, run];
}
