/** Time limits set by the deployment. */
export interface FleetTiming {
    /** Maximum duration of a lease on a worker. */
    readonly maximumLeaseMs: number;
    /** A withdrawn API key must stop working within this time. */
    readonly keyWithdrawalMs: number;
    /** Starts may rely on the capacity of a worker for this time after the directory was read. */
    readonly capacityGraceMs: number;
    /** Nothing starts in a failure domain this long after its evacuation was stored; infinite without a bound. */
    readonly evacuationMs: number;
    /** Time from the request to stop a process until it is killed. */
    readonly graceMs: number;
    /** Time for which callers can read the state of an ended job. */
    readonly stateRetentionMs: number;
}
