/** Numbers of the failed runs of a task; reports of several workers come in any order, and more than once. */
export type FailedRuns = readonly number[];

/** Stored progress of one step. */
export interface StepProgress {
    /** One digit a task, `all` when every task is done, empty when none is. */
    readonly done: string;
    /** Failed runs by index of the task. */
    readonly failures: Readonly<Record<string, FailedRuns>>;
    readonly checkpoints: Readonly<Record<string, string>>;
    readonly gangFailures: FailedRuns;
}

/** Stored progress of a job. */
export interface JobProgress {
    readonly nextOccurrence: number;
    readonly started: boolean;
    readonly open: readonly { readonly number: number; readonly steps: readonly StepProgress[]; }[];
}

/** Failed runs of a task that has not failed. */
export const NO_FAILURES: FailedRuns = [];

/** Adds a failed run unless it is known. */
export function addFailedRun(failures: FailedRuns, run: number): FailedRuns {
    return failures.includes(run) ? failures : [...failures, run];
}
