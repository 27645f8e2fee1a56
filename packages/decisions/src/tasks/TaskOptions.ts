/** Options of a task scheduler. */
export interface TaskOptions {
    /** Maximum tasks that one decision starts, apart from gangs; bounds its processor time. */
    readonly maxStartsPerDecision: number;
    /** Distinct healthy workers on which a task has to fail before its group is rejected; all if there are fewer. */
    readonly maxFailedWorkers: number;
    /** Failed attempts of a task that its rejection requires too; four times as many suffice on fewer workers. */
    readonly maxAttempts: number;
    /** Distinct healthy workers on which a group without any succeeded task has to fail before it is rejected. */
    readonly maxFailedWorkersOfGroup: number;
    readonly retryDelayMs: number;
    readonly maxRetryDelayMs: number;
    /** Time for which a group has to be infeasible on all workers before it is rejected. */
    readonly infeasibleGraceMs: number;
    /** Time between the first two attempts to start a waiting gang; doubles up to `maxGangAttemptIntervalMs`. */
    readonly gangAttemptIntervalMs: number;
    readonly maxGangAttemptIntervalMs: number;
    /** Time that a gang waits before it may reserve workers. */
    readonly gangReservationDelayMs: number;
    /** Fraction of the time from submission to latest start that a gang above its team's share waits to reserve. */
    readonly gangSlackFraction: number;
    /** A gang above its share may reserve within this multiple of its conservative run time before its latest start. */
    readonly gangWindowFactor: number;
    readonly minGangWindowMs: number;
    /** Maximum fraction of the workers reserved by all; a gang may exceed it if no other worker is reserved. */
    readonly maxGangReservedFraction: number;
    /** Time after the planned start, or after a failed plan, when a reservation is planned again. */
    readonly replanDelayMs: number;
    /** Time to replace lost members of a running gang before the others are stopped. */
    readonly gangRepairTimeoutMs: number;
    /** Time that a task waits before a worker may be reserved for it. */
    readonly taskReservationDelayMs: number;
    /** Maximum fraction of the workers reserved for single tasks; one worker is always allowed. */
    readonly maxTaskReservedFraction: number;
    /** Whether short tasks may run on reserved workers until the reservation starts. */
    readonly backfill: boolean;
    /** Multiple of a task's conservative run time that has to fit before the reservation starts. */
    readonly backfillMargin: number;
    /** Time that urgent tasks wait before other tasks are preempted. */
    readonly preemptionDelayMs: number;
    /** Workers examined for each preemption; more only while none is suitable. */
    readonly preemptionCandidates: number;
    /** Time from throttling a victim to its checkpoint, or to its stop if it cannot be checkpointed. */
    readonly throttleMs: number;
    /** Time to write a checkpoint before the victim is stopped. */
    readonly checkpointMs: number;
    /** Time in which a stopped victim has to end before the claim on its worker is dropped and others are chosen. */
    readonly stopTimeoutMs: number;
}

/** Options that apply unless overridden. */
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
    taskReservationDelayMs: 2_000,
    maxTaskReservedFraction: 0.05,
    backfill: true,
    backfillMargin: 2,
    preemptionDelayMs: 1_000,
    preemptionCandidates: 32,
    throttleMs: 100,
    checkpointMs: 1_000,
    stopTimeoutMs: 2_000
};
