import { err, ok, type Result } from "neverthrow";

/** Result as it is sent over the wire. */
export interface EncodedResult {
    readonly value?: unknown;
    readonly error?: unknown;
}

/** Encodes a result for the wire. */
export function encodeResult<T, E>(result: Result<T, E>): EncodedResult {
    return result.match<EncodedResult>(value => ({ value }), error => ({ error }));
}

/** Decodes a result received over the wire. */
export function decodeResult<T, E>(encoded: unknown): Result<T, E> {
    const { value, error } = encoded as EncodedResult;
    return error === undefined ? ok(value as T) : err(error as E);
}
