/** What the clients of one listener may take up in the process. */
export interface ListenerLimits {
    /** Connections that are open at a time. */
    readonly maximumConnections: number;
    /** Memory for connections, requests in progress and bodies; see `ConnectionLedger`. */
    readonly memoryBytes: number;
    /** Largest request body, in bytes. It may change while the process runs. */
    readonly maximumBodyBytes: () => number;
    /** Requests on one connection that are read before their answers were taken. */
    readonly maximumRequestsAhead: number;
    /** Time within which a request's head has to arrive. */
    readonly headTimeoutMs: number;
    /** Time within which a whole request has to arrive. */
    readonly requestTimeoutMs: number;
    /** Time for which a ready answer waits for a client that takes none. */
    readonly answerTimeoutMs: number;
}

/** Listeners of a process, each with a share of its machine. */
export interface ListenerShares {
    readonly callers: ListenerLimits;
    readonly peers: ListenerLimits;
    readonly readiness: ListenerLimits;
}

/** Memory charged for an open connection: buffers, parser and the largest head that the parser keeps. */
export const CONNECTION_BYTES = 32 * 1024;
/** Memory charged for a request from its head to the delivery of its answer, without the body. */
export const REQUEST_BYTES = 8 * 1024;

/** Descriptors of a process that are not for sockets. */
const FILE_DESCRIPTORS = 200;
/** Largest message of another process, also as a share of the memory, since it is parsed at once. */
const MAX_PEER_BODY_BYTES = 16 * 1024 * 1024;
const PEER_BODY_SHARE = 1 / 32;
/** Part of a listener's memory that open connections may fill, so that the rest is left for requests. */
const CONNECTION_SHARE = 1 / 2;
/** Share of the machine's memory, and of the descriptors for sockets. A third of the latter is left for own calls. */
const SHARES = {
    callers: { memory: 3 / 16, sockets: 3 / 8 },
    peers: { memory: 3 / 16, sockets: 1 / 4 },
    readiness: { memory: 1 / 64, sockets: 1 / 32 }
} as const;
/** A lost packet is sent again after up to some seconds; a body of 256 KiB at 5 KiB/s arrives within a minute. */
const TIMEOUTS = { headTimeoutMs: 30_000, requestTimeoutMs: 60_000, answerTimeoutMs: 30_000 } as const;
const MAX_REQUESTS_AHEAD = 16;

/** Derives the limits of the listeners from the memory and the descriptors of the machine. */
export function deriveListenerLimits(
    machineBytes: number,
    descriptors: number,
    maximumCallerBodyBytes: () => number
): ListenerShares {
    const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS);
    const derive = (share: { memory: number; sockets: number; }, maximumBodyBytes: () => number): ListenerLimits => {
        const memoryBytes = machineBytes * share.memory;
        const connectionsByMemory = memoryBytes * CONNECTION_SHARE / CONNECTION_BYTES;
        return {
            maximumConnections: Math.max(1, Math.floor(Math.min(sockets * share.sockets, connectionsByMemory))),
            memoryBytes,
            maximumBodyBytes,
            maximumRequestsAhead: MAX_REQUESTS_AHEAD,
            ...TIMEOUTS
        };
    };
    const peerBodyBytes = Math.min(MAX_PEER_BODY_BYTES, machineBytes * PEER_BODY_SHARE);
    return {
        callers: derive(SHARES.callers, maximumCallerBodyBytes),
        peers: derive(SHARES.peers, () => peerBodyBytes),
        readiness: derive(SHARES.readiness, () => 0)
    };
}
