import type { WorkerDirectory } from "../config/WorkerDirectory.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";

/** Starts are planned only if their orders then have this long to reach the workers. */
const MIN_ORDER_TIME_MS = 600;

/** Limits starts to the time for which the known capacity of the workers can be relied on. */
export class CapacityFreshness {
    constructor(
        private readonly directory: WorkerDirectory,
        private readonly fleet: FleetState,
        private readonly capacityGraceMs: number
    ) {}

    /** Time within which a start on a worker of the pool must happen; workers that refuse overload need no limit. */
    public timeLeftMs(poolName: string): number {
        const pool = this.fleet.config?.pools.find(each => each.name === poolName);
        return pool?.refusesOverload ? Number.POSITIVE_INFINITY : this.capacityGraceMs - this.directory.ageMs;
    }

    /** Returns whether the known capacity is recent enough to plan the start of a step. */
    public mayStart(step: StepState): boolean {
        const queue = this.fleet.queue(step.job.spec.queue);
        return queue === undefined || this.timeLeftMs(queue.pool) >= MIN_ORDER_TIME_MS;
    }
}
