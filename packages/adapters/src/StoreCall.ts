import { type StoreError, StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import { err, type Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { decodeResult } from "./ResultCodec.js";
import { RpcFailureKind } from "./RpcFailure.js";

/** Calls a method of a platform service and maps transport failures to store errors. */
export async function callStore<T>(
    client: JsonRpcClient,
    address: string,
    path: string,
    method: string,
    parameters: unknown,
    timeoutMs: number
): Promise<Result<T, StoreError>> {
    const reply = await client.call(address, path, method, parameters, timeoutMs);
    if (reply.isOk()) {
        return decodeResult<T, StoreError>(reply.value);
    }
    const kind = reply.error.kind === RpcFailureKind.ReplyLost ? StoreErrorKind.ReplyLost : StoreErrorKind.Unavailable;
    return err({ kind, message: reply.error.message });
}
