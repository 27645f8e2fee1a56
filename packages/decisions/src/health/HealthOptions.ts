/** Settings of the worker health. */
export interface HealthOptions {
    /** Distinct tasks that fail on a worker, with no success between, before it is quarantined. */
    readonly minFailedTasks: number;
    readonly quarantineMs: number;
    readonly maxQuarantineMs: number;
    /** Fraction of the workers that may be quarantined; beyond it the cause lies elsewhere. */
    readonly maxQuarantinedFraction: number;
    /** Distinct workers on which a group without success has failed, so that it counts no more against workers. */
    readonly ignoreGroupAfterWorkers: number;
    /** Fraction of the workers with failures and no success since, above which groups are not blamed. */
    readonly fleetFailureFraction: number;
}

/** Settings in force unless others are given. */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = {
    minFailedTasks: 3,
    quarantineMs: 60_000,
    maxQuarantineMs: 3_600_000,
    maxQuarantinedFraction: 0.25,
    ignoreGroupAfterWorkers: 2,
    fleetFailureFraction: 0.5
};
