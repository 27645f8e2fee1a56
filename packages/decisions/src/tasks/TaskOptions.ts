/** Settings of a task scheduler. */
export interface TaskOptions {
    /** Tasks that one decision starts, apart from gangs; bounds its processor time. */
    readonly maxStartsPerDecision: number;
    /** Distinct workers on which a task fails before its group is rejected. */
    readonly maxFailedWorkers: number;
    /** Attempts of a task that fails, when there are fewer workers than that. */
    readonly maxAttempts: number;
    /** Distinct workers on which a group without any success fails before it is rejected. */
    readonly maxFailedWorkersOfGroup: number;
    readonly retryDelayMs: number;
    readonly maxRetryDelayMs: number;
    /** Time for which a size has to exceed all workers before its groups are rejected. */
    readonly infeasibleGraceMs: number;
    /** Time between the first two tries to start a waiting gang; it grows up to the longest. */
    readonly gangAttemptIntervalMs: number;
    readonly maxGangAttemptIntervalMs: number;
    /** Time that a gang waits for room before it reserves workers. */
    readonly gangReservationDelayMs: number;
    /** Fraction of its slack that a gang above its team's share waits before it reserves. */
    readonly gangSlackFraction: number;
    /** Multiple of its run time before the latest start, from when on a gang reserves above its share. */
    readonly gangWindowFactor: number;
    readonly minGangWindowMs: number;
    /** Fraction of the workers that reservations may hold together. */
    readonly maxGangReservedFraction: number;
    /** Time after the planned start when a reservation is planned anew. */
    readonly replanDelayMs: number;
    /** Time in which lost members of a running gang may be replaced before the rest is stopped. */
    readonly gangRepairTimeoutMs: number;
    /** Time that a task waits for room before a worker is kept for it. */
    readonly keepPatienceMs: number;
    /** Fraction of the workers that are kept for single tasks. */
    readonly maxTaskReservedFraction: number;
    /** Short tasks run on reserved workers before the reservation needs them. */
    readonly backfill: boolean;
    /** Multiple of a short task's long run time that has to fit before the reservation. */
    readonly backfillMargin: number;
    /** Time that urgent work waits for room before others are stopped. */
    readonly preemptionDelayMs: number;
    /** Workers compared for each preemption. */
    readonly preemptionCandidates: number;
    /** Time from throttling a victim to its checkpoint. */
    readonly throttleMs: number;
    /** Time that a victim gets for its checkpoint before it is stopped. */
    readonly checkpointMs: number;
    /** Time in which a stopped victim has to end before other victims are sought. */
    readonly stopTimeoutMs: number;
}

/** Settings in force unless others are given. */
export const DEFAULT_TASK_OPTIONS: TaskOptions = {
    maxStartsPerDecision: 250,
    maxFailedWorkers: 3,
    maxAttempts: 3,
    maxFailedWorkersOfGroup: 5,
    retryDelayMs: 200,
    maxRetryDelayMs: 60_000,
    infeasibleGraceMs: 30_000,
    gangAttemptIntervalMs: 50,
    maxGangAttemptIntervalMs: 500,
    gangReservationDelayMs: 1_000,
    gangSlackFraction: 0.02,
    gangWindowFactor: 2,
    minGangWindowMs: 60_000,
    maxGangReservedFraction: 0.5,
    replanDelayMs: 1_000,
    gangRepairTimeoutMs: 2_000,
    keepPatienceMs: 2_000,
    maxTaskReservedFraction: 0.05,
    backfill: true,
    backfillMargin: 2,
    preemptionDelayMs: 1_000,
    preemptionCandidates: 32,
    throttleMs: 100,
    checkpointMs: 1_000,
    stopTimeoutMs: 2_000
};
