import type { QueueConfig, TeamConfig } from "../model/FleetConfig.js";
import type { JobPhase, JobSchedule, StepSpec } from "../model/JobSpec.js";

/** What a caller wants. */
export enum CallerVerb {
    Submit = "submit",
    /** State of a job; without an id, the count of waiting jobs of the queue. */
    State = "state",
    Cancel = "cancel"
}

/** Job as it came from a caller, before its queue and team are known. */
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
    /** Reads the job of a submission. */
    readonly readJob?: () => SubmittedJob | string;
}

/** What becomes of a request. */
export enum ReplyKind {
    Accepted = "accepted",
    State = "state",
    Waiting = "waiting",
    Cancelled = "cancelled",
    /** Malformed; it never runs. */
    Malformed = "malformed",
    UnknownKey = "unknown-key",
    UnknownQueue = "unknown-queue",
    UnknownJob = "unknown-job",
    /** Not accepted; it never runs, and may be sent again after a while. */
    NotNow = "not-now",
    /** It is not known whether it was accepted; the same request settles it. */
    Unsettled = "unsettled"
}

/** Reply to a caller. */
export interface CallerReply {
    readonly kind: ReplyKind;
    readonly phase?: JobPhase;
    readonly waiting?: number;
    readonly message?: string;
    readonly retryAfterMs?: number;
}

/** Request whose queue and team are known. */
export interface RoutedRequest {
    readonly request: CallerRequest;
    readonly queue: QueueConfig;
    readonly team: TeamConfig | undefined;
    readonly teamName: string;
    readonly jobId: string;
}
