import type { Result } from "neverthrow";
import type { ResourceAmounts } from "../model/JobSpec.js";

/** Entry of a worker in the fleet's directory. */
export interface WorkerEntry {
    readonly id: string;
    readonly address: string;
    readonly pool: string;
    readonly failureDomain: string;
    readonly draining: boolean;
    /** Minimum time until a draining worker leaves. */
    readonly remainingMs?: number;
    /** Time for which the worker was still slow after its start when the entry was written. */
    readonly warmUpLeftMs?: number;
    /** Time of the reader's timer until which the worker may be slow, by when the entry was first read. */
    readonly warmAtMs?: number;
    readonly capacity: ResourceAmounts;
    readonly labels: readonly string[];
    readonly rack: string;
    /** Wall-clock time at which this incarnation of the worker started; identifies the incarnation. */
    readonly incarnation: number;
}

/** Incarnation of a worker that does not report its own. */
export const UNKNOWN_INCARNATION = 0;

/** How a run of a task ended. */
export enum RunEnd {
    Done = "done",
    Failed = "failed",
    Stopped = "stopped",
    LeaseExpired = "lapsed",
    /** Another member of its gang ended. */
    GangBroken = "broken",
    /** The other members of its gang did not start in time. */
    GangIncomplete = "alone"
}

/** Run in a worker's report. */
export interface ReportedRun {
    readonly task: string;
    readonly run: number;
    readonly checkpoint: string;
    /** Progress of the task. */
    readonly percent: number;
    /** Tail latency in ms for a serving task, processors in use for any other. */
    readonly load?: number;
}

/** Ended run in a worker's report. */
export interface ReportedEnd {
    /** Increases with each run that ends on the worker. */
    readonly number: number;
    readonly task: string;
    readonly run: number;
    readonly end: RunEnd;
    readonly checkpoint: string;
}

/** Report of a worker about its runs. */
export interface WorkerReport {
    readonly clockMs: number;
    readonly incarnation?: number;
    readonly running: readonly ReportedRun[];
    /** Ends after the acknowledged one, by ascending number. */
    readonly ended: readonly ReportedEnd[];
    /**
     * The worker may hold later ends than the listed ones: a run that is neither in `running` nor in `ended` may have
     * ended, in whichever way.
     */
    readonly hasMoreEnds: boolean;
}

/** Long poll for a worker's report; it renews the lease of all runs on the worker. */
export interface PollRequest {
    readonly token: number;
    /** Ended runs up to this number are committed; the worker no longer needs to report them. */
    readonly acknowledgedEnd: number;
    /** End of the lease on the worker's clock. */
    readonly leaseEndMs?: number;
    /** The worker delays its reply this long unless a run ends. */
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

/** Outcome of an order to a worker. */
export enum OrderOutcome {
    Accepted = "taken",
    /** The worker has seen a higher fencing token. */
    StaleToken = "stale-token",
    /** A run of the task with the same or a higher number has already ended on the worker. */
    StaleRun = "stale-run",
    /** The order arrived after its lease had ended. */
    Late = "late",
    NoCapacity = "no-room",
    NoPermit = "no-permit",
    /** The worker is unhealthy; nothing was done. */
    Unhealthy = "unhealthy",
    /** The worker at the address is another incarnation. */
    WrongIncarnation = "wrong-incarnation",
    Malformed = "malformed",
    /** The connection was refused; nothing was done. */
    Unreachable = "unreachable",
    /** No reply came; the order may have been carried out, or may still be. */
    Uncertain = "uncertain"
}

/** Reply to an order. */
export interface OrderReply {
    readonly outcome: OrderOutcome;
    readonly clockMs?: number;
}

/** Why a poll returned no report. */
export interface PollFailure {
    readonly outcome: OrderOutcome;
    readonly message: string;
}

/** Client for calls to workers. */
export interface WorkerClient {
    poll(worker: WorkerEntry, order: PollRequest, timeoutMs: number): Promise<Result<WorkerReport, PollFailure>>;
    start(worker: WorkerEntry, order: StartOrder, timeoutMs: number): Promise<OrderReply>;
    stop(worker: WorkerEntry, task: string, run: number, token: number, timeoutMs: number): Promise<OrderReply>;
    /** Limits the speed of a run to a percentage of its full speed. */
    limitSpeed(
        worker: WorkerEntry,
        task: string,
        run: number,
        percent: number,
        token: number,
        timeoutMs: number
    ): Promise<OrderReply>;
    /** Closes the connections to a worker that has left. */
    disconnect(worker: WorkerEntry): void;
}
