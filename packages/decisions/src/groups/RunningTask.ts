import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "./GroupState.js";

/** Step of preemption that a running task has reached. */
export enum PreemptionStage {
    Undisturbed = 0,
    Throttled = 1,
    Checkpointing = 2,
    Stopping = 3
}

/** Task that is counted as running on a worker. */
export class RunningTask {
    public stage = PreemptionStage.Undisturbed;
    /** The same task found on a further worker; counted until the task ended. */
    public duplicate: RunningTask | undefined;

    constructor(
        public readonly taskId: string,
        public readonly group: GroupState,
        public readonly worker: WorkerNode,
        public readonly startedAtMs: number
    ) {}
}
