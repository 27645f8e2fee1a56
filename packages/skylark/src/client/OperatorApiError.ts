import type { OperatorProblem } from "@skylarkpath/common/api/OperatorsApi";

/** Failure of a call to the operators' interface. */
export interface OperatorApiError {
    readonly kind: OperatorApiErrorKind;
    readonly message: string;
    readonly problem?: OperatorProblem;
}

/** Why a call to the operators' interface failed. */
export enum OperatorApiErrorKind {
    /** No server took the call. */
    NotReachable = "not-reachable",
    /** The call was sent, but no whole reply came. */
    ReplyLost = "reply-lost",
    /** The server can't serve the call now. */
    Unavailable = "unavailable",
    /** The server refused the call. */
    Refused = "refused",
    /** Another change won. */
    Conflict = "conflict"
}
