import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";

/** View of the outside with its age in ms; infinite before the first read. */
export interface AgedView {
    readonly ageMs: number;
}

/** Limit of the time within which a start must happen; infinite where there is none. */
export interface StartLimit {
    readonly timeLeftMs: number;
}

/** Starts are planned only if their orders then have this long to reach the workers. */
const MIN_ORDER_TIME_MS = 600;

/**
 * Limits starts to the time for which the known capacity of the workers, and what is known of evacuated failure domains,
 * can be relied on.
 */
export class CapacityFreshness {
    constructor(
        private readonly directory: AgedView,
        private readonly evacuations: StartLimit,
        private readonly fleet: FleetState,
        private readonly capacityGraceMs: number
    ) {}

    /** Time within which a start on a worker of the pool must happen. */
    public timeLeftMs(poolName: string): number {
        return Math.min(this.capacityTimeLeftMs(poolName), this.evacuations.timeLeftMs);
    }

    /** Returns whether both are recent enough to plan the start of a step. */
    public mayStart(step: StepState): boolean {
        const queue = this.fleet.queue(step.job.spec.queue);
        return queue === undefined || this.timeLeftMs(queue.pool) >= MIN_ORDER_TIME_MS;
    }

    /** Workers that refuse overload need no limit. */
    private capacityTimeLeftMs(poolName: string): number {
        const pool = this.fleet.config?.pools.find(each => each.name === poolName);
        return pool?.refusesOverload ? Number.POSITIVE_INFINITY : this.capacityGraceMs - this.directory.ageMs;
    }
}
