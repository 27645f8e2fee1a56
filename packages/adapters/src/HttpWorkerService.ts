import type {
    WorkerError,
    WorkerExchange,
    WorkerReply,
    WorkerService
} from "@skylarkpath/common/platform/WorkerService";
import { err, type Result } from "neverthrow";
import type { JsonRpcClient } from "./JsonRpcClient.js";
import { WORKER_PATH } from "./PlatformPaths.js";
import { decodeResult } from "./ResultCodec.js";
import { RpcFailureKind } from "./RpcFailure.js";

/** Client of the platform's workers over HTTP. */
export class HttpWorkerService implements WorkerService {
    constructor(private readonly client: JsonRpcClient, private readonly timeoutMs: number) {}

    public async exchange(address: string, exchange: WorkerExchange): Promise<Result<WorkerReply, WorkerError>> {
        const reply = await this.client.call(address, WORKER_PATH, "exchange", exchange, this.timeoutMs);
        if (reply.isOk()) {
            return decodeResult<WorkerReply, WorkerError>(reply.value);
        }
        const replyLost = reply.error.kind === RpcFailureKind.ReplyLost;
        return err({ replyLost, message: reply.error.message });
    }
}
