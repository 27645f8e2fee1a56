import { addFailedRun, type FailedRuns, NO_FAILURES } from "../model/JobProgress.js";
import type { StepSpec } from "../model/JobSpec.js";
import type { JobState } from "./JobState.js";
import { TaskState } from "./TaskState.js";

/** What the placement policy has said about a step. */
export interface StepPermits {
    /** Permits by worker, with the incarnation that they hold for. */
    readonly byWorker: Map<string, { permit: string; incarnation: number; expiresAtMs: number; }>;
    /** Workers that were named in a question, with their incarnations. */
    readonly asked: Map<string, number>;
    /** Time of the last question that is not answered. */
    askedAtMs: number | undefined;
    /** Number of the last question. */
    question: number;
    answeredAtMs: number;
    /** Time at which the last of the permits lapses. */
    latestExpiryMs: number;
}

/** One step of one occurrence of a job. */
export class StepState {
    public readonly name: string;
    public readonly tasks: readonly TaskState[];
    public doneCount = 0;
    /** Tasks that may be started; kept by the tasks themselves. */
    public waitingCount: number;
    /** Runs of the gang that ended as failed. */
    public gangFailures: FailedRuns = NO_FAILURES;
    public readyAtMs: number | undefined;
    public readonly permits: StepPermits = {
        byWorker: new Map(),
        asked: new Map(),
        askedAtMs: undefined,
        question: 0,
        answeredAtMs: 0,
        latestExpiryMs: 0
    };

    constructor(
        public readonly job: JobState,
        public readonly occurrence: number,
        public readonly number: number,
        public readonly spec: StepSpec
    ) {
        this.name = `${job.spec.id}.${occurrence}.${number}`;
        this.waitingCount = spec.taskCount;
        this.tasks = [...Array(spec.taskCount).keys()].map(index => new TaskState(this, index));
    }

    public get done(): boolean {
        return !this.spec.lasting && this.doneCount >= this.tasks.length;
    }

    /** Checkpoint that all members of the gang resume from. */
    public get gangCheckpoint(): string {
        return this.tasks.find(task => task.checkpoint !== "")?.checkpoint ?? "";
    }

    /** Marks a task as done; a member of a gang stands for all. */
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
