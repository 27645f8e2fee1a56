import { type FailedRuns, NO_FAILURE } from "../model/JobProgress.js";
import type { RunState } from "./RunState.js";
import type { StepState } from "./StepState.js";

/** One task of a step. */
export class TaskState {
    public done = false;
    public failures: FailedRuns = NO_FAILURE;
    public checkpoint = "";
    public run: RunState | undefined;
    /** Highest number that a run of it had. */
    public lastRun: number;
    /** Workers on which it failed or stood still. */
    public readonly avoidedWorkers = new Set<string>();
    public readonly name: string;

    constructor(public readonly step: StepState, public readonly index: number) {
        this.name = `${step.name}.${index}`;
        this.lastRun = step.job.firstRun - 1;
    }

    /** It may be started: neither done nor counted as running anywhere. */
    public get waiting(): boolean {
        return !this.done && this.run === undefined;
    }
}
