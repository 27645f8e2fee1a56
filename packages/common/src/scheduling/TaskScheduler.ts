import type { Resources } from "../model/Resources.js";
import type { TeamAllotment } from "../model/Slice.js";

/** Kind of a group of tasks. */
export enum GroupKind {
    Service = "service",
    Batch = "batch",
    Gang = "gang"
}

/** Worker as the scheduler sees it. */
export interface WorkerView {
    readonly workerId: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** New tasks may start here: fenced, reachable and not leaving. */
    readonly schedulable: boolean;
}

/** Tasks of one request or service, all of one size. */
export interface TaskGroup {
    readonly groupId: string;
    readonly team: string;
    readonly kind: GroupKind;
    readonly urgent: boolean;
    readonly resources: Resources;
    readonly taskIds: readonly string[];
    /** Name by which run times and sizes are learnt: the queue or the service. */
    readonly profile: string;
    readonly declaredDurationMs: number;
    readonly checkpointable: boolean;
    /** Tasks are never stopped for other work, since they must not run again; default false. */
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

/** Decision of the scheduler, to be carried out in order. */
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
    /** Stopped by a decision, lost with its worker, or never started; it waits again. */
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

/** Explanation of why a group waits and for what. */
export interface WaitExplanation {
    readonly cause: WaitCause;
    readonly detail: string;
}

/** Decides about the workers of one slice; free of I/O and clocks. */
export interface TaskScheduler {
    setTeams(teams: ReadonlyMap<string, TeamPolicy>): void;
    upsertWorker(worker: WorkerView): void;
    /** Removes a worker; its running tasks stay known until ended one by one. */
    removeWorker(workerId: string): void;
    /** Adds a group whose tasks wait; a known group gains the tasks it lacks. */
    submit(group: TaskGroup): void;
    /** Counts a task as running where an inventory found it; the group is submitted before. */
    adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void;
    /** Removes the waiting tasks of a group and returns the running ones, still counted until ended. */
    withdraw(groupId: string): readonly string[];
    /** Ends a running task, freeing what it held; `Requeued` makes it wait again. */
    taskEnded(taskId: string, end: TaskEnd, nowMs: number): void;
    /** Returns what to do now; every start is committed in the scheduler's state already. */
    decide(nowMs: number): readonly Decision[];
    /** The last decision stopped at its bound of starts; more can start at once. */
    hasMore?(): boolean;
    explain(groupId: string, nowMs: number): WaitExplanation | undefined;
    /** What a team has running here. */
    usage(team: string): Resources;
}
