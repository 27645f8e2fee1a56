import type { EventLevel } from "@skylarkpath/common/log/EventLog";

/** IP address and port that a process listens on. */
export interface SocketAddress {
    readonly host: string;
    /** Zero lets the system choose a free port. */
    readonly port: number;
}

/** Addresses that a process listens on. */
export interface ListenSettings {
    readonly callers: SocketAddress;
    readonly operators: SocketAddress;
    readonly peers: SocketAddress;
}

/** Addresses of the platform's services. */
export interface PlatformSettings {
    readonly tableServiceUrl: string;
    readonly objectStoreUrl: string;
    readonly liveListUrl: string;
}

/** Keys of the operators; hashes are lower-case hexadecimal SHA-256. */
export interface OperatorKeySettings {
    readonly keyHashes: readonly string[];
    /** File with one key hash a line. */
    readonly keyHashesFile?: string;
}

/** Key that authenticates messages between processes; exactly one of the two is set. */
export interface ClusterKeySettings {
    readonly key?: string;
    readonly keyFile?: string;
}

/** Intervals and time limits. */
export interface TimingSettings {
    readonly heartbeatIntervalMs: number;
    /** Time without a heartbeat after which a peer counts as lost. */
    readonly peerLostAfterMs: number;
    /** Lease of a slice owner in the table service. */
    readonly ownerLeaseMs: number;
    readonly ownerRenewalIntervalMs: number;
    /** Lease of a task at its worker. */
    readonly taskLeaseMs: number;
    readonly storeTimeoutMs: number;
    readonly peerTimeoutMs: number;
    readonly workerTimeoutMs: number;
    readonly liveListIntervalMs: number;
    /** Longest lag of the platform's live list. */
    readonly liveListLagMs: number;
    /** Age of the last read of the store above which key knowledge is stale. */
    readonly keyAgeLimitMs: number;
    /** Interval between reads of the operators' text's version in the store. */
    readonly configIntervalMs: number;
    /** Longest time that a graceful stop waits for requests in progress. */
    readonly stopTimeoutMs: number;
}

/** Bounds of what a process takes in and keeps. */
export interface LimitSettings {
    readonly bodyBytes: number;
    readonly answerBytes: number;
    readonly queuedRequests: number;
    readonly queuedRequestsPerTeam: number;
    readonly timelineEvents: number;
    /** Payloads above this size go to the object store. */
    readonly inlinePayloadBytes: number;
}

/** Modelled links between processes, for the bench. */
export interface LinkSettings {
    readonly failureDomainDelayMs: number;
    readonly regionDelayMs: number;
    /** Bandwidth between regions; not modelled when absent. */
    readonly regionBitsPerSecond?: number;
    /** Failure domain that holds the platform's services; they are near everywhere when absent. */
    readonly platformFailureDomain?: string;
    readonly platformRegion?: string;
    /** JSON file with the cut links as `[from, to]` pairs of failure domains, read again and again. */
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
