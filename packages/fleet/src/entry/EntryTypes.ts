import type { QueueConfig, TeamConfig } from "../model/FleetConfig.js";
import type { JobPhase, JobSchedule, StepSpec } from "../model/JobSpec.js";

/** Operation that a caller requests. */
export enum CallerVerb {
    Submit = "submit",
    /** Reads the state of a job or, without an id, the number of waiting jobs in the queue. */
    State = "state",
    Cancel = "cancel"
}

/** Job as submitted by a caller, before its queue and team are resolved. */
export interface SubmittedJob {
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly schedule: JobSchedule;
}

/** Request of a caller. */
export interface CallerRequest {
    readonly verb: CallerVerb;
    readonly host: string;
    readonly path: string;
    readonly key: string | undefined;
    /** Parses the submitted job; returns an error message when it is malformed. */
    readonly parseJob?: () => SubmittedJob | string;
}

/** Outcome of a request. */
export enum ReplyKind {
    Accepted = "accepted",
    State = "state",
    Waiting = "waiting",
    Cancelled = "cancelled",
    /** The request is malformed or conflicts with another job; the job never runs. */
    Malformed = "malformed",
    UnknownKey = "unknown-key",
    UnknownQueue = "unknown-queue",
    UnknownJob = "unknown-job",
    /** Not accepted and never run; the caller may send it again later. */
    NotNow = "not-now",
    /** It is unknown whether the request took effect; the caller finds out by sending the same request again. */
    Uncertain = "unsettled"
}

/** Reply to a caller. */
export interface CallerReply {
    readonly kind: ReplyKind;
    readonly phase?: JobPhase;
    readonly waiting?: number;
    readonly message?: string;
    readonly retryAfterMs?: number;
}

/** Request with its queue and team resolved. */
export interface RoutedRequest {
    readonly request: CallerRequest;
    readonly queue: QueueConfig;
    readonly team: TeamConfig | undefined;
    readonly teamName: string;
    readonly jobId: string;
}
