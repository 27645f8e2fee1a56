import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import type { WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";

/** What an entry tells a caller about a request. */
export interface RequestReply {
    /** Absent when nothing was kept of the request. */
    readonly requestId?: string;
    readonly outcome: RequestOutcome;
    readonly waiting?: WaitExplanation;
}

/** Composes the reply to a request that did not run. */
export function notRun(reason: OutcomeReason, detail?: string, retryAfterMs?: number): RequestReply {
    return { outcome: { state: OutcomeState.NotRun, reason, detail, retryAfterMs } };
}

/** Composes the reply to a question about a request that is not known. */
export function requestUnknown(): RequestReply {
    return { outcome: { state: OutcomeState.Unknown, reason: OutcomeReason.RequestUnknown } };
}

/** Composes the reply to a question that is not answered; the request itself may have run. */
export function outcomeUnknown(reason: OutcomeReason, detail: string): RequestReply {
    return { outcome: { state: OutcomeState.Unknown, reason, detail } };
}
