import {
    type AttemptReport,
    type TargetAnswer,
    type TargetError,
    TargetErrorKind,
    type TargetInventory,
    type TargetRequest,
    type TargetService
} from "@skylarkpath/common/platform/TargetService";
import { err, type Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { TARGET_PATH } from "./PlatformPaths.js";
import { decodeResult } from "./ResultCodec.js";
import { RpcFailureKind } from "./RpcFailure.js";

const ERROR_KINDS: Readonly<Record<RpcFailureKind, TargetErrorKind>> = {
    [RpcFailureKind.Unreachable]: TargetErrorKind.Unreachable,
    [RpcFailureKind.ReplyLost]: TargetErrorKind.ReplyLost,
    [RpcFailureKind.Refused]: TargetErrorKind.Refused
};

/** Client of the targets over HTTP. */
export class HttpTargetService implements TargetService {
    constructor(private readonly client: JsonRpcClient, private readonly timeoutMs: number) {}

    public dispatch(address: string, request: TargetRequest): Promise<Result<TargetAnswer, TargetError>> {
        return this.call(address, "dispatch", request, request.timeoutMs);
    }

    public attempt(address: string, attemptId: string): Promise<Result<AttemptReport, TargetError>> {
        return this.call(address, "attempt", { attemptId }, this.timeoutMs);
    }

    public inventory(address: string): Promise<Result<TargetInventory, TargetError>> {
        return this.call(address, "inventory", {}, this.timeoutMs);
    }

    private async call<T>(
        address: string,
        method: string,
        parameters: unknown,
        timeoutMs: number
    ): Promise<Result<T, TargetError>> {
        const reply = await this.client.call(address, TARGET_PATH, method, parameters, timeoutMs);
        return reply.isOk()
            ? decodeResult<T, TargetError>(reply.value)
            : err({ kind: ERROR_KINDS[reply.error.kind], message: reply.error.message });
    }
}
