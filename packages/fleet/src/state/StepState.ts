import { addFailedRun, type FailedRuns, NO_FAILURES } from "../model/JobProgress.js";
import type { StepSpec } from "../model/JobSpec.js";
import type { JobState } from "./JobState.js";
import { formatStepName } from "./TaskName.js";
import { TaskState } from "./TaskState.js";

/** Questions to the placement policy about a step, and the permits in its answers. */
export interface StepPermits {
    /** Permits by worker id, with the incarnation of the worker for which they are valid. */
    readonly byWorker: Map<string, { permit: string; incarnation: number; expiresAtMs: number; }>;
    /** Workers that an answered question named, with their incarnations. */
    readonly answeredWorkers: Map<string, number>;
    /** Numbers of the questions that are not answered yet. */
    readonly openQuestions: Set<number>;
    answeredAtMs: number;
    /** Time at which the last permit expires. */
    latestExpiryMs: number;
    /** Questions in a row without an answer that was of use. */
    unansweredCount: number;
    /** Time of the last answer, or at which the last question was given up. */
    settledAtMs: number;
    /** Times in a row that the policy has denied all workers. */
    deniedCount: number;
    /** Time before which the policy is not asked again after it gave no answer, or denied all workers. */
    retryAtMs: number;
}

/** One step of one occurrence of a job. */
export class StepState {
    public readonly name: string;
    public readonly tasks: readonly TaskState[];
    public doneCount = 0;
    /** Number of tasks that may be started; the tasks keep it up to date. */
    public waitingCount: number;
    /** Failed runs of the gang. */
    public gangFailures: FailedRuns = NO_FAILURES;
    public readyAtMs: number | undefined;
    public readonly permits: StepPermits = {
        byWorker: new Map(),
        answeredWorkers: new Map(),
        openQuestions: new Set(),
        answeredAtMs: 0,
        latestExpiryMs: 0,
        unansweredCount: 0,
        settledAtMs: Number.NEGATIVE_INFINITY,
        deniedCount: 0,
        retryAtMs: 0
    };

    constructor(
        public readonly job: JobState,
        public readonly occurrence: number,
        public readonly number: number,
        public readonly spec: StepSpec
    ) {
        this.name = formatStepName(job.spec.id, occurrence, number);
        this.waitingCount = spec.taskCount;
        this.tasks = [...Array(spec.taskCount).keys()].map(index => new TaskState(this, index));
    }

    public get done(): boolean {
        return !this.spec.lasting && this.doneCount >= this.tasks.length;
    }

    /** Whether workers have crashed under any of its tasks. */
    public get suspect(): boolean {
        return this.tasks.some(task => task.crashedRuns.length > 0);
    }

    /** Checkpoint that all members of the gang resume from. */
    public get gangCheckpoint(): string {
        return this.tasks.find(task => task.checkpoint !== "")?.checkpoint ?? "";
    }

    /** Marks a task as done; in a gang, all tasks are done together. */
    public markDone(task: TaskState): void {
        const doneTasks = this.spec.gang ? this.tasks : [task];
        for (const doneTask of doneTasks) {
            if (!doneTask.done) {
                doneTask.done = true;
                this.doneCount++;
            }
        }
    }

    /** Records a failed run; returns the number of failures that count against the limit of attempts. */
    public markFailed(task: TaskState, run: number): number {
        if (this.spec.gang) {
            this.gangFailures = addFailedRun(this.gangFailures, run);
            return this.gangFailures.length;
        }
        task.failures = addFailedRun(task.failures, run);
        return task.failures.length;
    }
}
