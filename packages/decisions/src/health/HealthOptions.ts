/** Settings for the quarantine of faulty workers. */
export interface HealthOptions {
    /** Distinct tasks that have to fail on a worker, without a success in between, before it is quarantined. */
    readonly minFailedTasks: number;
    /** Length of the first quarantine; it doubles with each further one until a task succeeds. */
    readonly quarantineMs: number;
    readonly maxQuarantineMs: number;
    /** Fraction of the workers that may be quarantined at once; if more fail, the cause is assumed to lie elsewhere. */
    readonly maxQuarantinedFraction: number;
    /** A group without any success that failed on this many distinct workers does not count against workers. */
    readonly ignoreGroupAfterWorkers: number;
    /** If a larger fraction of the workers has failures and no success since, failures do not count against groups. */
    readonly fleetFailureFraction: number;
}

/** Default settings for the quarantine of faulty workers. */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = {
    minFailedTasks: 3,
    quarantineMs: 60_000,
    maxQuarantineMs: 3_600_000,
    maxQuarantinedFraction: 0.25,
    ignoreGroupAfterWorkers: 2,
    fleetFailureFraction: 0.5
};
