/** Intervals, timeouts and limits of a process. */
export interface ProcessOptions {
    /** Interval between heartbeat requests to each process of the own failure domain. */
    readonly heartbeatIntervalMs: number;
    /** Interval at which a process asks the relay of its failure domain about the other failure domains. */
    readonly relayQueryIntervalMs: number;
    /** Interval between heartbeat requests of a domain relay to another failure domain of its region. */
    readonly domainRelayIntervalMs: number;
    /** Interval between heartbeat requests of a region relay to another region. */
    readonly regionRelayIntervalMs: number;
    /** Timeout of a heartbeat request and of a push of key changes. */
    readonly heartbeatTimeoutMs: number;
    /** Time for which a domain relay collects changes before it forwards them. */
    readonly updateDelayMs: number;
    /** Silence after which a peer is suspected. */
    readonly suspectAfterMs: number;
    /** Silence after which a peer is considered dead. */
    readonly deadAfterMs: number;
    /** Interval between reads of the live list. */
    readonly liveListIntervalMs: number;
    /** Maximum lag of the live list. */
    readonly liveListLagMs: number;
    /** Interval between polls for a newer configuration. */
    readonly configIntervalMs: number;
    /** Interval between polls for changed keys. */
    readonly keyIntervalMs: number;
    /** Age of the key data above which requests with a team key are refused. */
    readonly keyAgeLimitMs: number;
    /** Time without contact to the store after which a process may report the store as lost. */
    readonly keyStoreLostAfterMs: number;
    /** Age of the key data above which a process that is not a relay reads the store itself. */
    readonly keyRelayedAgeLimitMs: number;
    /** Maximum time that a new process waits for a reply from every live process before it uses its key data. */
    readonly keyJoinTimeoutMs: number;
    /** Timeout for the acknowledgements of a key grant or withdrawal. */
    readonly withdrawalTimeoutMs: number;
    /** Jitter of the delays with which processes write key withdrawals once an outage of the store has ended. */
    readonly rejoinSpreadMs: number;
    /** Interval at which a slice owner reads the allotments of its slice. */
    readonly allotmentIntervalMs: number;
    /** Interval at which the coordinator moves allotments towards the demand. */
    readonly rebalanceIntervalMs: number;
    readonly peerTimeoutMs: number;
    readonly taskLeaseMs: number;
    readonly workerExchangeIntervalMs: number;
    /** Fraction of a duration by which two clocks may diverge. */
    readonly clockDriftFactor: number;
    readonly ownershipIntervalMs: number;
    /** Maximum time that a write waits in the queue before it is first sent. */
    readonly writeQueueLimitMs: number;
    readonly writeQueueLength: number;
    readonly writeBatchLength: number;
    /** Sustained rate of store transactions of one process. */
    readonly writesPerSecond: number;
    /** Transactions that may be sent in a burst above the sustained rate. */
    readonly writeBurst: number;
    readonly retryDelayMs: number;
    readonly retryDelayLimitMs: number;
    /** Maximum time that a caller waits until a durable request is accepted. */
    readonly acceptTimeoutMs: number;
    /** Payloads and answers above this size are stored in the object store. */
    readonly inlineLimitBytes: number;
    /** Interval at which a slice owner reads the requests of its slice from the store again. */
    readonly reloadIntervalMs: number;
    /** Time for which the outcome of a finished request is retained in memory. */
    readonly lookupMemoryMs: number;
    readonly timelineLength: number;
    /** Maximum time that a graceful stop waits for work in progress. */
    readonly stopTimeoutMs: number;
}

/** Default intervals, timeouts and limits. */
export const DEFAULT_PROCESS_OPTIONS: ProcessOptions = {
    heartbeatIntervalMs: 250,
    relayQueryIntervalMs: 500,
    domainRelayIntervalMs: 250,
    regionRelayIntervalMs: 500,
    heartbeatTimeoutMs: 500,
    updateDelayMs: 20,
    suspectAfterMs: 1000,
    deadAfterMs: 2000,
    liveListIntervalMs: 1000,
    liveListLagMs: 3000,
    configIntervalMs: 1000,
    keyIntervalMs: 500,
    keyAgeLimitMs: 4000,
    keyStoreLostAfterMs: 1200,
    keyRelayedAgeLimitMs: 1500,
    keyJoinTimeoutMs: 5000,
    withdrawalTimeoutMs: 3000,
    rejoinSpreadMs: 2000,
    allotmentIntervalMs: 500,
    rebalanceIntervalMs: 1000,
    peerTimeoutMs: 1500,
    taskLeaseMs: 10_000,
    workerExchangeIntervalMs: 500,
    clockDriftFactor: 0.1,
    ownershipIntervalMs: 250,
    writeQueueLimitMs: 2000,
    writeQueueLength: 20_000,
    writeBatchLength: 500,
    writesPerSecond: 40,
    writeBurst: 20,
    retryDelayMs: 50,
    retryDelayLimitMs: 2000,
    acceptTimeoutMs: 5000,
    inlineLimitBytes: 16_384,
    reloadIntervalMs: 5000,
    lookupMemoryMs: 60_000,
    timelineLength: 20_000,
    stopTimeoutMs: 60_000
};
