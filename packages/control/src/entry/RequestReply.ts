import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import type { WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";

/** Reply to a caller about a request. */
export interface RequestReply {
    /** Absent when the request was not accepted, is not known or may not be seen by the caller. */
    readonly requestId?: string;
    readonly outcome: RequestOutcome;
    readonly waiting?: WaitExplanation;
}

/** Composes the reply for a request that did not run. */
export function notRun(reason: OutcomeReason, detail?: string, retryAfterMs?: number): RequestReply {
    return { outcome: { state: OutcomeState.NotRun, reason, detail, retryAfterMs } };
}

/** Composes the reply to a query for a request that is not known or not visible to the caller. */
export function requestUnknown(): RequestReply {
    return { outcome: { state: OutcomeState.Unknown, reason: OutcomeReason.RequestUnknown } };
}

/** Composes the reply to a query that cannot be answered; the request itself may have run. */
export function outcomeUnknown(reason: OutcomeReason, detail: string): RequestReply {
    return { outcome: { state: OutcomeState.Unknown, reason, detail } };
}
