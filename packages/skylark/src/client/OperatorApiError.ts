import type { OperatorProblem } from "@skylarkpath/common/api/OperatorsApi";

/** Failure of a call to the operators' API. */
export interface OperatorApiError {
    readonly kind: OperatorApiErrorKind;
    readonly message: string;
    readonly problem?: OperatorProblem;
}

/** Why a call to the operators' API failed. */
export enum OperatorApiErrorKind {
    /** No connection was established; the call was not sent. */
    NotReachable = "not-reachable",
    /** The call may have been sent, but no complete and valid reply was received. */
    ReplyLost = "reply-lost",
    /** The server can't serve the call now. */
    Unavailable = "unavailable",
    /** The server refused the call. */
    Refused = "refused",
    /** A concurrent change was applied first. */
    Conflict = "conflict"
}
