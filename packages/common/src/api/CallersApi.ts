import type { OutcomeReason, OutcomeState } from "../model/Request.js";
import type { WaitExplanation } from "../scheduling/TaskScheduler.js";

/** Body of `POST /v1/requests`. */
export interface SubmitBody {
    readonly queue: string;
    /** Arbitrary text, passed to the target or to each task. */
    readonly payload: string;
    /** Time within which the request must finish; the queue's default when absent. */
    readonly deadlineMs?: number;
    /** Batch and gang jobs only. */
    readonly tasks?: SubmitTasks;
}

/** Tasks of a batch or gang job. */
export interface SubmitTasks {
    readonly count: number;
    readonly processorMillicores: number;
    readonly memoryBytes: number;
    readonly accelerators?: number;
    readonly declaredDurationMs?: number;
    readonly checkpointable?: boolean;
}

/** State of a request as returned to its caller. */
export interface RequestView {
    readonly requestId: string;
    readonly state: OutcomeState;
    readonly reason?: OutcomeReason;
    readonly detail?: string;
    /** Complete answers, one per task; a look-up has one. */
    readonly answers?: readonly string[];
    readonly retryAfterMs?: number;
    /** Why the request waits and what it waits for. */
    readonly waiting?: WaitExplanation;
}

/** Problem details (RFC 9457); `state` always says whether the request ran. */
export interface CallerProblem {
    readonly type: string;
    readonly title: string;
    readonly status: number;
    readonly state: OutcomeState;
    readonly reason: OutcomeReason;
    readonly detail?: string;
    readonly retryAfterMs?: number;
}
