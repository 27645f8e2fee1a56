import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";

/** Workers kept for a group until all of its tasks can start together. */
export interface Reservation {
    readonly group: GroupState;
    /** Number of tasks that each worker is to run. */
    readonly taskCounts: ReadonlyMap<WorkerNode, number>;
    /** When the places are expected to be free; tasks that end before may run there. */
    readonly startAtMs: number;
}
