/** Bounds that the deployment sets. */
export interface FleetTiming {
    /** Longest lease that a worker grants. */
    readonly maximumLeaseMs: number;
    /** Longest time that a stop of a task takes. */
    readonly stopMs: number;
    /** Time that a gang's first members wait for the others. */
    readonly gangAssemblyMs: number;
    /** A withdrawn key must have stopped working after this time. */
    readonly keyWithdrawalMs: number;
    /** Time between the order to stop and the kill of a process. */
    readonly graceMs: number;
    /** Time for which the state of an ended job can be asked for. */
    readonly stateRetentionMs: number;
    /** Tolerance for a start before its time. */
    readonly earlyMs: number;
    /** Factor on run times away from the data or across racks. */
    readonly remoteFactor: number;
    /** Time a task needs to resume from a checkpoint. */
    readonly restoreMs: number;
}
