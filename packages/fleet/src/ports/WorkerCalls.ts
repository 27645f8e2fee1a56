import type { Result } from "neverthrow";
import type { Size } from "../model/JobSpec.js";

/** Entry of a worker in the fleet's directory. */
export interface WorkerEntry {
    readonly id: string;
    readonly address: string;
    readonly pool: string;
    readonly failureDomain: string;
    readonly draining: boolean;
    /** Least time that a draining worker still has. */
    readonly remainingMs?: number;
    readonly capacity: Size;
    readonly labels: readonly string[];
    readonly rack: string;
    /** Wall-clock time of the start of this lifetime; identifies it. */
    readonly incarnation: number;
}

/** Incarnation of a worker that does not tell its own. */
export const UNKNOWN_INCARNATION = 0;

/** How a run of a task ended. */
export enum RunEnd {
    Done = "done",
    Failed = "failed",
    Stopped = "stopped",
    LeaseLapsed = "lapsed",
    /** Another member of its gang ended. */
    GangBroken = "broken",
    /** It waited for the other members of its gang for too long. */
    GangIncomplete = "alone"
}

/** A run on a worker, as the worker lists it. */
export interface ListedRun {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    readonly percent: number;
    /** Tail latency in ms for a serving task, processors in use for any other. */
    readonly load?: number;
}

/** An ended run, as the worker lists it. */
export interface ListedEnd {
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** What a worker says of itself. */
export interface WorkerReport {
    readonly clockMs: number;
    readonly incarnation?: number;
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedEnd[];
}

/** Request for a report; it renews the lease of all that runs on the worker. */
export interface LookOrder {
    readonly token: number;
    /** Ends up to this number may be forgotten. */
    readonly notedEnd: number;
    /** End of the lease on the worker's clock. */
    readonly leaseEndMs?: number;
    /** The reply waits this long for an end. */
    readonly waitMs: number;
}

/** Order to start a task. */
export interface StartOrder {
    readonly task: string;
    readonly run: number;
    readonly payload: string;
    readonly leaseEndMs: number;
    readonly token: number;
    readonly checkpoint?: string;
    readonly permit?: string;
}

/** What became of an order to a worker. */
export enum OrderOutcome {
    Taken = "taken",
    /** A higher token was seen. */
    StaleToken = "stale-token",
    /** A run that is not lower ended there. */
    StaleRun = "stale-run",
    /** It arrived after its lease had ended. */
    Late = "late",
    NoRoom = "no-room",
    NoPermit = "no-permit",
    /** The worker is unhealthy; nothing was done. */
    Unhealthy = "unhealthy",
    /** The worker lives another life now. */
    WrongIncarnation = "wrong-incarnation",
    Malformed = "malformed",
    /** Nobody listens; nothing was done. */
    Unreachable = "unreachable",
    /** No reply came; the order may have been carried out, or may be later. */
    Uncertain = "uncertain"
}

/** Reply to an order. */
export interface OrderReply {
    readonly outcome: OrderOutcome;
    readonly clockMs?: number;
}

/** Why a look gave no report. */
export interface LookFailure {
    readonly outcome: OrderOutcome;
    readonly message: string;
}

/** Calls to workers. */
export interface WorkerCalls {
    look(worker: WorkerEntry, order: LookOrder, timeoutMs: number): Promise<Result<WorkerReport, LookFailure>>;
    start(worker: WorkerEntry, order: StartOrder, timeoutMs: number): Promise<OrderReply>;
    stop(worker: WorkerEntry, task: string, run: number, token: number, timeoutMs: number): Promise<OrderReply>;
    pace(
        worker: WorkerEntry,
        task: string,
        run: number,
        percent: number,
        token: number,
        timeoutMs: number
    ): Promise<OrderReply>;
    /** Closes the connections to a worker that has left. */
    forget(worker: WorkerEntry): void;
}
