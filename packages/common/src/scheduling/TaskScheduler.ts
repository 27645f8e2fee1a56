import type { Resources } from "../model/Resources.js";
import type { TeamAllotment } from "../model/Slice.js";

/** Kind of a group of tasks. */
export enum GroupKind {
    Service = "service",
    Batch = "batch",
    Gang = "gang"
}

/** State of a worker as known to the scheduler. */
export interface WorkerView {
    readonly workerId: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** New tasks may start on the worker: it is fenced, reachable and not leaving. */
    readonly schedulable: boolean;
}

/** Tasks of one request or service, all with the same resource demand. */
export interface TaskGroup {
    readonly groupId: string;
    readonly team: string;
    readonly kind: GroupKind;
    readonly urgent: boolean;
    readonly resources: Resources;
    readonly taskIds: readonly string[];
    /** Name under which run times and sizes are learned: that of the queue or the service. */
    readonly profile: string;
    readonly declaredDurationMs: number;
    readonly checkpointable: boolean;
    /** Tasks are never stopped in favour of other work, because they must not run twice; default false. */
    readonly neverPreempted?: boolean;
    /** Monotonic time; absent for services. */
    readonly deadlineAtMs?: number;
    readonly submittedAtMs: number;
}

/** Share and allotment of a team in this slice. */
export interface TeamPolicy {
    readonly share: number;
    readonly allotment: TeamAllotment;
}

/** Kind of a scheduling decision. */
export enum DecisionKind {
    Start = "start",
    Throttle = "throttle",
    Checkpoint = "checkpoint",
    Stop = "stop",
    Reject = "reject"
}

/** Decision of the scheduler; decisions must be carried out in the order returned. */
export type Decision =
    | {
        readonly kind: DecisionKind.Start;
        readonly taskId: string;
        readonly groupId: string;
        readonly workerId: string;
    }
    | {
        readonly kind: DecisionKind.Throttle | DecisionKind.Checkpoint | DecisionKind.Stop;
        readonly taskId: string;
        readonly groupId: string;
        readonly workerId: string;
    }
    | { readonly kind: DecisionKind.Reject; readonly groupId: string; readonly reason: string; };

/** How a task ended. */
export enum TaskEnd {
    Succeeded = "succeeded",
    Failed = "failed",
    /** Stopped by a decision, lost with its worker, or never started; the task is queued again. */
    Requeued = "requeued",
    Cancelled = "cancelled"
}

/** Why a group waits. */
export enum WaitCause {
    Share = "share",
    Limit = "limit",
    Size = "size",
    Reservation = "reservation",
    Fencing = "fencing",
    NoWorker = "no-worker"
}

/** Why a group waits, and what it waits for. */
export interface WaitExplanation {
    readonly cause: WaitCause;
    readonly detail: string;
}

/** Schedules tasks on the workers of one slice; does no I/O and reads no clock. */
export interface TaskScheduler {
    setTeams(teams: ReadonlyMap<string, TeamPolicy>): void;
    upsertWorker(worker: WorkerView): void;
    /** Removes a worker; its running tasks stay counted until `taskEnded` is called for each. */
    removeWorker(workerId: string): void;
    /** Adds a group and queues its tasks; for a known group, adds only the tasks that it lacks. */
    submit(group: TaskGroup): void;
    /** Counts a task as running on the worker whose inventory lists it; the group must be submitted first. */
    adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void;
    /** Removes the waiting tasks of a group and returns the running ones, which stay counted until they end. */
    withdraw(groupId: string): readonly string[];
    /** Ends a running task and frees its resources; `Requeued` queues it again. */
    taskEnded(taskId: string, end: TaskEnd, nowMs: number): void;
    /** Returns the decisions to carry out now; each start is already counted in the scheduler's state. */
    decide(nowMs: number): readonly Decision[];
    /** Returns whether the last `decide` call stopped at its limit on starts, so that another call may start more. */
    hasMore?(): boolean;
    explain(groupId: string, nowMs: number): WaitExplanation | undefined;
    /** Resources that the running tasks of a team use in this slice. */
    usage(team: string): Resources;
}
