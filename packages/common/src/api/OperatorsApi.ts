import type { Finding } from "../base/Finding.js";
import type { TimelineEvent } from "../log/EventLog.js";
import type { Resources } from "../model/Resources.js";

/** Body of `PUT /v1/config`. */
export interface ApplyConfigBody {
    readonly baseVersion: number;
    readonly text: string;
}

/** Reply to `PUT /v1/config`. */
export interface ApplyConfigReply {
    readonly version: number;
}

/** Version of the cluster configuration in force at one process. */
export interface ProcessConfigStatus {
    readonly processId: string;
    readonly failureDomain: string;
    /** Zero before the process has adopted any configuration. */
    readonly version: number;
    readonly reached: boolean;
}

/** Reply to `GET /v1/config/status`. */
export interface ConfigStatusReply {
    /** Highest version known to the process that answers. */
    readonly version: number;
    readonly processes: readonly ProcessConfigStatus[];
}

/** Body of `POST /v1/keys`. */
export interface GrantKeyBody {
    readonly team: string;
}

/** Reply to `POST /v1/keys`; no other reply contains the key. */
export interface GrantKeyReply {
    readonly keyId: string;
    readonly team: string;
    readonly key: string;
}

/** Reply to `DELETE /v1/keys/{keyId}`. */
export interface WithdrawKeyReply {
    readonly keyId: string;
    /** The withdrawal is in the store, or every live process has acknowledged it. */
    readonly complete: boolean;
    /** Processes that have not acknowledged the withdrawal. */
    readonly missing: readonly string[];
}

/** Key as listed, without its secret or hash. */
export interface ListedKey {
    readonly keyId: string;
    readonly team: string;
    readonly grantedAtMs: number;
    readonly withdrawn: boolean;
}

/** Reply to `GET /v1/keys`. */
export interface ListKeysReply {
    readonly keys: readonly ListedKey[];
}

/** State of a process as observed by another process. */
export interface PeerStatus {
    readonly processId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly state: string;
    readonly configVersion: number;
}

/** Running and waiting work of one team in one slice. */
export interface TeamStatus {
    readonly team: string;
    readonly running: Resources;
    readonly slotsInUse: number;
    readonly waitingGroups: number;
}

/** State of a slice as reported by its owner. */
export interface SliceStatus {
    readonly sliceId: string;
    readonly owner: string;
    readonly epoch: number;
    readonly workers: number;
    readonly fencedWorkers: number;
    readonly runningTasks: number;
    readonly waitingGroups: number;
    readonly heldRequests: number;
    readonly teams: readonly TeamStatus[];
    /** Number of active replicas by service: running or starting, and not being stopped. */
    readonly services: Readonly<Record<string, number>>;
}

/** Reply to `GET /v1/status`. */
export interface StatusReply {
    readonly processId: string;
    readonly failureDomain: string;
    readonly ready: boolean;
    readonly configVersion: number;
    readonly storeReachable: boolean;
    readonly peers: readonly PeerStatus[];
    readonly slices: readonly SliceStatus[];
    /** Processes that were queried and did not answer. */
    readonly notReached: readonly string[];
}

/** Reply to `GET /v1/timeline?requestId=&sinceMs=`. */
export interface TimelineReply {
    /** Events of all processes that answered, in causal order. */
    readonly events: readonly TimelineEvent[];
    readonly notReached: readonly string[];
}

/** Problem details (RFC 9457) of the operators' interface. */
export interface OperatorProblem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly detail?: string;
    /** Errors in a configuration that was not applied. */
    readonly findings?: readonly Finding[];
    /** For a conflict, the version that is in force instead. */
    readonly winningVersion?: number;
}
