/** Why a call to a platform service failed. */
export enum StoreErrorKind {
    /** The service refused or could not be reached; nothing was written. */
    Unavailable = "unavailable",
    /** No reply came; the write may have taken effect or may still do so. */
    ReplyLost = "reply-lost",
    /** A condition of the transaction did not hold; nothing was written. */
    Conflict = "conflict",
    /** The call itself was malformed. */
    Invalid = "invalid"
}

/** Failed call to a platform service. */
export interface StoreError {
    readonly kind: StoreErrorKind;
    readonly message: string;
    /** For a conflict, indexes of the conditions that did not hold. */
    readonly failedConditions?: readonly number[];
}
