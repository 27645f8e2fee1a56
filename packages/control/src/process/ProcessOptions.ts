/** Timing and bounds of a process. */
export interface ProcessOptions {
    /** Interval between heartbeats to each peer. */
    readonly heartbeatIntervalMs: number;
    /** Interval at which a process asks its relay for what is beyond the failure domain. */
    readonly relayQueryIntervalMs: number;
    /** Interval between beats of the relays of two failure domains. */
    readonly domainRelayIntervalMs: number;
    /** Interval between beats of the relays of two regions. */
    readonly regionRelayIntervalMs: number;
    /** Longest wait for the answer to a beat. */
    readonly beatTimeoutMs: number;
    /** Time for which a relay gathers news before it passes them on. */
    readonly updateDelayMs: number;
    /** Silence after which a peer is suspected. */
    readonly suspectAfterMs: number;
    /** Silence after which a peer is taken as dead. */
    readonly deadAfterMs: number;
    readonly liveListIntervalMs: number;
    /** Longest lag of the live list. */
    readonly liveListLagMs: number;
    readonly configIntervalMs: number;
    readonly keyIntervalMs: number;
    /** Age of key knowledge past which keyed work is refused. */
    readonly keyAgeLimitMs: number;
    /** Silence of the store after which a process says that it has lost the store. */
    readonly keyStoreLostMs: number;
    /** Age of relayed key knowledge past which a process reads the store itself. */
    readonly keyRelayedAgeMs: number;
    /** Longest wait of a new process for an answer of every live process. */
    readonly keyJoinLimitMs: number;
    /** Longest wait for the acknowledgements of a withdrawal. */
    readonly withdrawalTimeoutMs: number;
    /** Time over which processes spread what they held back during an outage of the store. */
    readonly rejoinSpreadMs: number;
    /** Interval at which an owner reads the allotments of its slice. */
    readonly allotmentIntervalMs: number;
    /** Interval at which the coordinator moves allotments towards the demand. */
    readonly rebalanceIntervalMs: number;
    readonly peerTimeoutMs: number;
    readonly taskLeaseMs: number;
    readonly workerExchangeIntervalMs: number;
    /** Part of a duration by which clock rates may differ. */
    readonly clockDriftFactor: number;
    readonly ownershipIntervalMs: number;
    /** Longest wait of a write before it is first sent. */
    readonly writeQueueLimitMs: number;
    readonly writeQueueLength: number;
    readonly writeBatchLength: number;
    /** Transactions of one process a second in the long run. */
    readonly writesPerSecond: number;
    /** Transactions that may follow each other without a wait. */
    readonly writeBurst: number;
    readonly retryDelayMs: number;
    readonly retryDelayLimitMs: number;
    /** Longest wait of a caller for the acceptance of a durable request. */
    readonly acceptTimeoutMs: number;
    /** Payloads and answers above this size go to the object store. */
    readonly inlineLimitBytes: number;
    readonly reloadIntervalMs: number;
    /** Time for which an entry remembers the outcome of a look-up. */
    readonly lookupMemoryMs: number;
    readonly timelineLength: number;
    /** Longest wait for work in progress at a graceful stop. */
    readonly stopLimitMs: number;
}

/** Default timing and bounds. */
export const DEFAULT_PROCESS_OPTIONS: ProcessOptions = {
    heartbeatIntervalMs: 250,
    relayQueryIntervalMs: 500,
    domainRelayIntervalMs: 250,
    regionRelayIntervalMs: 500,
    beatTimeoutMs: 500,
    updateDelayMs: 20,
    suspectAfterMs: 1000,
    deadAfterMs: 2000,
    liveListIntervalMs: 1000,
    liveListLagMs: 3000,
    configIntervalMs: 1000,
    keyIntervalMs: 500,
    keyAgeLimitMs: 4000,
    keyStoreLostMs: 1200,
    keyRelayedAgeMs: 1500,
    keyJoinLimitMs: 5000,
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
    stopLimitMs: 60_000
};
