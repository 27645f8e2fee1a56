import type { Result } from "neverthrow";
import type { JsonValue } from "../platform/TableService.js";

/** Why a call to another process failed. */
export enum PeerErrorKind {
    /** The connection was never made; the call did not take effect. */
    Unreachable = "unreachable",
    /** No reply came; the call may have taken effect. */
    ReplyLost = "reply-lost",
    /** The other process refused the call. */
    Refused = "refused"
}

/** Failed call to another process. */
export interface PeerError {
    readonly kind: PeerErrorKind;
    readonly message: string;
}

/** Calls methods of other skylarkpath processes by address. */
export interface PeerTransport {
    call(
        address: string,
        method: string,
        parameters: JsonValue,
        timeoutMs: number
    ): Promise<Result<JsonValue, PeerError>>;
}

/** Handler of one method that other processes call; an error result reaches the caller as a refusal. */
export type PeerHandler = (parameters: JsonValue, from: string) => Promise<Result<JsonValue, string>>;

/** Registry of the methods that a process offers to its peers. */
export interface PeerMethodRegistry {
    register(method: string, handler: PeerHandler): void;
}
