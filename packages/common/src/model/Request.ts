import type { QueueKind } from "./ClusterConfig.js";
import type { Resources } from "./Resources.js";

/** State of a request as reported to its caller. */
export enum OutcomeState {
    Accepted = "accepted",
    Running = "running",
    Done = "done",
    NotRun = "not-run",
    Unknown = "unknown"
}

/** Reason given with an outcome, such as why a request did not run, failed or has no known outcome. */
export enum OutcomeReason {
    BadRequest = "bad-request",
    TooLarge = "too-large",
    KeyMissing = "key-missing",
    KeyInvalid = "key-invalid",
    KeyKnowledgeStale = "key-knowledge-stale",
    QueueUnknown = "queue-unknown",
    RequestUnknown = "request-unknown",
    IdempotencyConflict = "idempotency-conflict",
    StoreUnavailable = "store-unavailable",
    Overloaded = "overloaded",
    DeadlinePassed = "deadline-passed",
    LimitReached = "limit-reached",
    Infeasible = "infeasible",
    NeverSucceeds = "never-succeeds",
    Cancelled = "cancelled",
    NoTarget = "no-target",
    NoOwner = "no-owner",
    OwnerLost = "owner-lost",
    TaskInterrupted = "task-interrupted",
    AnswerIncomplete = "answer-incomplete",
    TargetFailed = "target-failed",
    Stopping = "stopping"
}

/** Number and size of the tasks of a batch or gang job. */
export interface TaskSizing {
    readonly count: number;
    readonly resources: Resources;
    /** Run time that the caller declares; affects only the order of scheduling. */
    readonly declaredDurationMs: number;
    readonly checkpointable: boolean;
}

/** Validated request of a caller. */
export interface RequestSpec {
    readonly queue: string;
    readonly kind: QueueKind;
    readonly team: string;
    readonly idempotent: boolean;
    readonly urgent: boolean;
    readonly payload: string;
    /** Wall-clock time by which the request must have finished. */
    readonly deadlineAtMs: number;
    /** Absent for look-ups. */
    readonly tasks?: TaskSizing;
}

/** Outcome of a request as reported to its caller. */
export interface RequestOutcome {
    readonly state: OutcomeState;
    readonly reason?: OutcomeReason;
    readonly detail?: string;
    /** Complete answers, one per task; a look-up has one. */
    readonly answers?: readonly string[];
    /** Suggested delay before a retry, for a request that did not run. */
    readonly retryAfterMs?: number;
}

/** Dispatch of a non-idempotent request; committed before the request or the first task of a job is sent. */
export interface StartRecord {
    readonly attemptId: string;
    /** Target of a look-up; for a job, the id of its slice. */
    readonly targetId: string;
}

/** Durable record of an accepted request. */
export interface RequestRecord {
    readonly requestId: string;
    readonly sliceId: string;
    readonly spec: RequestSpec;
    /** Name of the object that holds a large payload; `spec.payload` is then empty. */
    readonly payloadObject?: string;
    /** Epoch of the slice under which the request was claimed. */
    readonly claimEpoch: number;
    /** Process that accepted the request. */
    readonly entry: string;
    readonly acceptedAtMs: number;
    readonly outcome: RequestOutcome;
    readonly start?: StartRecord;
    /** Name of the object that holds large answers. */
    readonly answersObject?: string;
}

/** Row that maps a team and an idempotency key to a request. */
export interface IdempotencyRecord {
    readonly requestId: string;
    readonly bodyHash: string;
}

/** Returns whether the outcome is final. */
export function isFinal(outcome: RequestOutcome): boolean {
    return outcome.state === OutcomeState.Done
        || outcome.state === OutcomeState.NotRun
        || outcome.state === OutcomeState.Unknown;
}

const SLICE_SEPARATOR = ".";

/** Composes a request id that contains the id of the slice to which the request belongs. */
export function composeRequestId(sliceId: string, uniqueSuffix: string): string {
    return `${sliceId}${SLICE_SEPARATOR}${uniqueSuffix}`;
}

/** Returns the slice id that a request id contains, or undefined if the request id is malformed. */
export function sliceOfRequestId(requestId: string): string | undefined {
    const end = requestId.lastIndexOf(SLICE_SEPARATOR);
    return end > 0 ? requestId.slice(0, end) : undefined;
}
