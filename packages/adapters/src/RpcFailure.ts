/** Why a remote call gave no result. */
export enum RpcFailureKind {
    /** No connection was established; the call did not take effect. */
    Unreachable = "unreachable",
    /** No complete reply arrived; the call may have taken effect. */
    ReplyLost = "reply-lost",
    /** The other side refused the call. */
    Refused = "refused"
}

/** Failure of a remote call. */
export interface RpcFailure {
    readonly kind: RpcFailureKind;
    readonly message: string;
    /** Error code of Node or of the HTTP client, such as `ECONNREFUSED`. */
    readonly code?: string;
}
