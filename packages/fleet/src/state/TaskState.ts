import { type FailedRuns, NO_FAILURES } from "../model/JobProgress.js";
import type { RunState } from "./RunState.js";
import type { StepState } from "./StepState.js";

/** One task of a step. */
export class TaskState {
    public failures: FailedRuns = NO_FAILURES;
    /** Runs under which their worker crashed. */
    public crashedRuns: FailedRuns = NO_FAILURES;
    public checkpoint = "";
    /** Highest run number of the task so far. */
    public lastRun: number;
    /** Workers on which the task failed or made no progress. */
    public readonly avoidedWorkers = new Set<string>();
    public readonly name: string;
    private isDone = false;
    private currentRun: RunState | undefined;

    constructor(public readonly step: StepState, public readonly index: number) {
        this.name = `${step.name}.${index}`;
        this.lastRun = step.job.firstRun - 1;
    }

    public get done(): boolean {
        return this.isDone;
    }

    public set done(done: boolean) {
        const wasWaiting = this.waiting;
        this.isDone = done;
        this.updateWaitingCount(wasWaiting);
    }

    /** Current run, even when it is uncertain whether it exists. */
    public get run(): RunState | undefined {
        return this.currentRun;
    }

    public set run(run: RunState | undefined) {
        const wasWaiting = this.waiting;
        this.currentRun = run;
        this.updateWaitingCount(wasWaiting);
    }

    /** Whether the task may be started: it is not done and has no current run. */
    public get waiting(): boolean {
        return !this.isDone && this.currentRun === undefined;
    }

    /** Whether workers have crashed under the task or, in a gang, under any member. */
    public get suspect(): boolean {
        return this.step.spec.gang ? this.step.suspect : this.crashedRuns.length > 0;
    }

    private updateWaitingCount(wasWaiting: boolean): void {
        this.step.waitingCount += Number(this.waiting) - Number(wasWaiting);
    }
}
