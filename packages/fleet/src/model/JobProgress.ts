/** Count of failed runs and number of the last one, so that none is counted twice. */
export interface FailureCount {
    readonly count: number;
    readonly lastRun: number;
}

/** Stored progress of one step. */
export interface StepProgress {
    /** One digit a task, `all` when every task is done, empty when none is. */
    readonly done: string;
    /** Count of failed runs and number of the last one, by index of the task. */
    readonly failures: Readonly<Record<string, FailureCount>>;
    readonly checkpoints: Readonly<Record<string, string>>;
    readonly gangFailures: FailureCount;
}

/** Stored progress of a job. */
export interface JobProgress {
    readonly nextOccurrence: number;
    readonly started: boolean;
    readonly open: readonly { readonly number: number; readonly steps: readonly StepProgress[]; }[];
}

/** Count of a task that has not failed. */
export const NO_FAILURE: FailureCount = { count: 0, lastRun: 0 };

/** Counts a failed run unless it was counted before. */
export function countFailure(failures: FailureCount, run: number): FailureCount {
    return run > failures.lastRun ? { count: failures.count + 1, lastRun: run } : failures;
}
