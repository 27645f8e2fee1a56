import {
    type PeerError,
    PeerErrorKind,
    type PeerHandler,
    type PeerMethodRegistry,
    type PeerTransport
} from "@skylarkpath/common/peer/PeerTransport";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import type { Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import type { JsonRpcEndpoint } from "./JsonRpcEndpoint.js";
import { PEER_PATH } from "./PlatformPaths.js";
import { RpcFailureKind } from "./RpcFailure.js";

const ERROR_KINDS: Readonly<Record<RpcFailureKind, PeerErrorKind>> = {
    [RpcFailureKind.Unreachable]: PeerErrorKind.Unreachable,
    [RpcFailureKind.ReplyLost]: PeerErrorKind.ReplyLost,
    [RpcFailureKind.Refused]: PeerErrorKind.Refused
};

/** Calls other processes over HTTP. */
export class HttpPeerTransport implements PeerTransport {
    constructor(private readonly client: JsonRpcClient) {}

    public async call(
        address: string,
        method: string,
        parameters: JsonValue,
        timeoutMs: number
    ): Promise<Result<JsonValue, PeerError>> {
        const reply = await this.client.call(address, PEER_PATH, method, parameters, timeoutMs);
        return reply.mapErr(failure => ({ kind: ERROR_KINDS[failure.kind], message: failure.message }));
    }
}

/** Registers methods that other processes call over HTTP. */
export class HttpPeerMethods implements PeerMethodRegistry {
    constructor(private readonly endpoint: JsonRpcEndpoint) {}

    public register(method: string, handler: PeerHandler): void {
        this.endpoint.register(method, async parameters => {
            const result = await handler(parameters as JsonValue, "");
            if (result.isErr()) {
                throw new Error(result.error);
            }
            return result.value;
        });
    }
}
