import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";

/** Workers reserved for a group until its tasks can start on them; those of a gang start together. */
export interface Reservation {
    readonly group: GroupState;
    /** Number of tasks planned for each worker. */
    readonly taskCounts: ReadonlyMap<WorkerNode, number>;
    /** When enough capacity is expected to be free; tasks that end before may be backfilled. */
    readonly startAtMs: number;
}
