import type { Result } from "neverthrow";
import type { Resources } from "../model/Resources.js";

/** Task that a worker is commanded to run. */
export interface WorkerTask {
    readonly taskId: string;
    readonly requestId: string;
    readonly team: string;
    readonly resources: Resources;
    readonly payload: string;
    /** Runs until stopped; unless stopped, it ends only by failure. */
    readonly service: boolean;
    /** Checkpoint to resume from. */
    readonly checkpoint?: string;
}

/** State of a task on a worker. */
export enum WorkerTaskState {
    Running = "running",
    Throttled = "throttled",
    Succeeded = "succeeded",
    Failed = "failed",
    Stopped = "stopped",
    LeaseLapsed = "lease-lapsed"
}

/** Report on one task; an ended task is reported until it is acknowledged. */
export interface WorkerTaskReport {
    readonly task: WorkerTask;
    readonly state: WorkerTaskState;
    /** Complete answer of a task that succeeded. */
    readonly answer?: string;
    readonly checkpoint?: string;
    /** Measured usage; it lags behind the actual usage. */
    readonly usage?: Resources;
    /** Epoch under which the task was started. */
    readonly epoch: number;
}

/** Kind of a worker command. */
export enum WorkerCommandKind {
    Start = "start",
    Renew = "renew",
    Stop = "stop",
    Throttle = "throttle",
    Checkpoint = "checkpoint",
    Acknowledge = "acknowledge"
}

/** Command to a worker; a lease runs from the `ticketMs` of its exchange. */
export type WorkerCommand =
    | { readonly kind: WorkerCommandKind.Start; readonly task: WorkerTask; readonly leaseMs: number; }
    | { readonly kind: WorkerCommandKind.Renew; readonly taskIds: readonly string[]; readonly leaseMs: number; }
    | { readonly kind: WorkerCommandKind.Stop; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Throttle; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Checkpoint; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Acknowledge; readonly taskIds: readonly string[]; };

/** Batch of commands; each batch fences off lower epochs and names the worker's incarnation. */
export interface WorkerExchange {
    readonly epoch: number;
    /** Undefined only to query the incarnation; the worker then refuses commands. */
    readonly incarnation?: string;
    /** Increases with each exchange of an epoch; a worker refuses an exchange that arrives after a later one. */
    readonly sequence: number;
    /** Copied from the last reply: time of the worker's own clock. Leases end `leaseMs` after it. */
    readonly ticketMs?: number;
    readonly commands: readonly WorkerCommand[];
}

/** Why a worker refused a command or a batch. */
export enum WorkerRefusal {
    StaleEpoch = "stale-epoch",
    /** A later exchange of the same epoch was already served. */
    StaleSequence = "stale-sequence",
    /** The lease would already have ended when the command arrived. */
    StaleTicket = "stale-ticket",
    WrongIncarnation = "wrong-incarnation",
    OverCapacity = "over-capacity",
    UnknownTask = "unknown-task",
    DuplicateTask = "duplicate-task",
    Leaving = "leaving"
}

/** Reply to an exchange: one result per command, and all tasks that run or whose end is not yet acknowledged. */
export interface WorkerReply {
    readonly incarnation: string;
    /** Highest epoch that the worker has seen. */
    readonly epoch: number;
    /** Time of the worker's own monotonic clock. */
    readonly ticketMs: number;
    readonly capacity: Resources;
    readonly leaving: boolean;
    /** One entry per command: its refusal, or `ok`, since an entry on the wire cannot be undefined. */
    readonly results: readonly (WorkerRefusal | "ok")[];
    readonly reports: readonly WorkerTaskReport[];
}

/** Failure of an exchange as a whole. */
export interface WorkerError {
    /** Why the whole batch was refused; none of its commands took effect. */
    readonly refusal?: WorkerRefusal;
    /** Highest epoch that the worker has seen; set when the refusal is for a stale epoch. */
    readonly epoch?: number;
    readonly incarnation?: string;
    /** If true, the call may have taken effect. */
    readonly replyLost: boolean;
    readonly message: string;
}

/** Client of the platform's workers. */
export interface WorkerService {
    exchange(address: string, exchange: WorkerExchange): Promise<Result<WorkerReply, WorkerError>>;
}
