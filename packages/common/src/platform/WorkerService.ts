import type { Result } from "neverthrow";
import type { Resources } from "../model/Resources.js";

/** What a worker is told to run. */
export interface WorkerTask {
    readonly taskId: string;
    readonly requestId: string;
    readonly team: string;
    readonly resources: Resources;
    readonly payload: string;
    /** Runs until stopped; reports no end of its own accord but failure. */
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

/** Report on one task; ended tasks stay reported until acknowledged. */
export interface WorkerTaskReport {
    readonly task: WorkerTask;
    readonly state: WorkerTaskState;
    /** Whole answer of a task that succeeded. */
    readonly answer?: string;
    readonly checkpoint?: string;
    /** Lagging measured usage. */
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

/** Command to a worker; a lease counts from the ticket of its exchange. */
export type WorkerCommand =
    | { readonly kind: WorkerCommandKind.Start; readonly task: WorkerTask; readonly leaseMs: number; }
    | { readonly kind: WorkerCommandKind.Renew; readonly taskIds: readonly string[]; readonly leaseMs: number; }
    | { readonly kind: WorkerCommandKind.Stop; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Throttle; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Checkpoint; readonly taskId: string; }
    | { readonly kind: WorkerCommandKind.Acknowledge; readonly taskIds: readonly string[]; };

/** Batch of commands; every batch fences with its epoch and names the worker's incarnation. */
export interface WorkerExchange {
    readonly epoch: number;
    /** Undefined only to learn the incarnation; commands are then refused. */
    readonly incarnation?: string;
    /** Rises with each exchange of an epoch; a worker refuses an exchange that a later one has overtaken. */
    readonly sequence: number;
    /** Ticket of the last reply: time of the worker's own clock; leases end `leaseMs` after it. */
    readonly ticketMs?: number;
    readonly commands: readonly WorkerCommand[];
}

/** Why a worker refused a command or a batch. */
export enum WorkerRefusal {
    StaleEpoch = "stale-epoch",
    /** A later exchange of the same epoch was served before. */
    StaleSequence = "stale-sequence",
    /** The lease would have ended before the command arrived. */
    StaleTicket = "stale-ticket",
    WrongIncarnation = "wrong-incarnation",
    OverCapacity = "over-capacity",
    UnknownTask = "unknown-task",
    DuplicateTask = "duplicate-task",
    Leaving = "leaving"
}

/** Reply to an exchange: one result a command, and all tasks that run or ended without acknowledgement. */
export interface WorkerReply {
    readonly incarnation: string;
    /** Highest epoch that the worker has seen. */
    readonly epoch: number;
    /** Time of the worker's own monotonic clock. */
    readonly ticketMs: number;
    readonly capacity: Resources;
    readonly leaving: boolean;
    /** Refusal of each command; undefined entries are not allowed on the wire, so accepted ones read `ok`. */
    readonly results: readonly (WorkerRefusal | "ok")[];
    readonly reports: readonly WorkerTaskReport[];
}

/** Failure of an exchange as a whole. */
export interface WorkerError {
    /** The whole batch was refused; nothing of it took effect. */
    readonly refusal?: WorkerRefusal;
    /** Highest epoch seen, with a refusal for a stale epoch. */
    readonly epoch?: number;
    readonly incarnation?: string;
    /** The call may have taken effect when this is true. */
    readonly replyLost: boolean;
    readonly message: string;
}

/** Client of the platform's workers. */
export interface WorkerService {
    exchange(address: string, exchange: WorkerExchange): Promise<Result<WorkerReply, WorkerError>>;
}
