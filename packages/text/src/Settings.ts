import type { EventLevel } from "@skylarkpath/common/log/EventLog";

/** IP address and port to listen on. */
export interface SocketAddress {
    readonly host: string;
    /** Zero lets the operating system choose a free port. */
    readonly port: number;
}

/** Addresses of the APIs for callers and operators, and of the endpoint for other processes of the cluster. */
export interface ListenSettings {
    readonly callers: SocketAddress;
    readonly operators: SocketAddress;
    readonly peers: SocketAddress;
}

/** Base URLs of the platform's services. */
export interface PlatformSettings {
    readonly tableServiceUrl: string;
    readonly objectStoreUrl: string;
    readonly liveListUrl: string;
}

/** Hashes of the keys that operators authenticate with, as lower-case hexadecimal SHA-256. */
export interface OperatorKeySettings {
    readonly keyHashes: readonly string[];
    /** File with one further key hash per line. */
    readonly keyHashesFile?: string;
}

/** Key that authenticates messages between processes; either the key or its file is set. */
export interface ClusterKeySettings {
    readonly key?: string;
    readonly keyFile?: string;
}

/** Intervals and time limits. */
export interface TimingSettings {
    readonly heartbeatIntervalMs: number;
    /** Time without a heartbeat after which a peer counts as lost. */
    readonly peerLostAfterMs: number;
    /** Duration of a slice owner's lease in the table service. */
    readonly ownerLeaseMs: number;
    readonly ownerRenewalIntervalMs: number;
    /** Duration of a task's lease at its worker. */
    readonly taskLeaseMs: number;
    readonly storeTimeoutMs: number;
    readonly peerTimeoutMs: number;
    readonly workerTimeoutMs: number;
    readonly liveListIntervalMs: number;
    /** Maximum delay before a change appears in the platform's list of live machines. */
    readonly liveListLagMs: number;
    /** Maximum time since the keys were last read from the store; older key data counts as stale. */
    readonly keyAgeLimitMs: number;
    /** Interval at which the store is polled for the version of the cluster configuration. */
    readonly configIntervalMs: number;
    /** Maximum time that a graceful stop waits for requests in progress. */
    readonly stopTimeoutMs: number;
}

/** Limits on what a process accepts and retains. */
export interface LimitSettings {
    readonly bodyBytes: number;
    readonly answerBytes: number;
    readonly queuedRequests: number;
    readonly queuedRequestsPerTeam: number;
    readonly timelineEvents: number;
    /** Larger payloads are written to the object store. */
    readonly inlinePayloadBytes: number;
}

/** Simulated network links between processes, for benchmarks. */
export interface LinkSettings {
    readonly failureDomainDelayMs: number;
    readonly regionDelayMs: number;
    /** Bandwidth between regions; unlimited when absent. */
    readonly regionBitsPerSecond?: number;
    /** Failure domain of the platform's services; without it or `platformRegion`, their links are not simulated. */
    readonly platformFailureDomain?: string;
    readonly platformRegion?: string;
    /** JSON file that lists cut links as `[from, to]` pairs of failure domains; reread periodically. */
    readonly cutsFile?: string;
}

/** Settings of a `skylarkd` process. */
export interface Settings {
    readonly processId: string;
    readonly failureDomain: string;
    readonly region: string;
    /** Slices of the failure domain that the process may own. */
    readonly slices: readonly string[];
    readonly listen: ListenSettings;
    readonly platform: PlatformSettings;
    readonly operators: OperatorKeySettings;
    readonly cluster: ClusterKeySettings;
    readonly timing: TimingSettings;
    readonly limits: LimitSettings;
    readonly links?: LinkSettings;
    readonly logLevel: EventLevel;
}
