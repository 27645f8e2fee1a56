import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "./GroupState.js";

/** How far the preemption of a running task has progressed. */
export enum PreemptionStage {
    None = 0,
    Throttled = 1,
    Checkpointing = 2,
    Stopping = 3
}

/** A task that is counted as running on a worker. */
export class RunningTask {
    public stage = PreemptionStage.None;
    /** The same task found running on another worker too; it uses capacity there until the task ends. */
    public duplicate: RunningTask | undefined;

    constructor(
        public readonly taskId: string,
        public readonly group: GroupState,
        public readonly worker: WorkerNode,
        public readonly startedAtMs: number
    ) {}
}
