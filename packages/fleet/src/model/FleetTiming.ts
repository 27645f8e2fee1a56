/** Bounds that the deployment sets. */
export interface FleetTiming {
    /** Longest lease that a worker grants. */
    readonly maximumLeaseMs: number;
    /** A withdrawn key must have stopped working after this time. */
    readonly keyWithdrawalMs: number;
    /** Time between the order to stop and the kill of a process. */
    readonly graceMs: number;
    /** Time for which the state of an ended job can be asked for. */
    readonly stateRetentionMs: number;
}
