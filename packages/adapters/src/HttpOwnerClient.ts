import type { Disposable } from "@skylarkpath/common/base/Disposable";
import {
    type EntryReport,
    type JobAnswer,
    type JobQuery,
    OwnerCallFailure,
    type OwnerClient,
    type OwnerService,
    type WatchReply,
    type WatchRequest
} from "@skylarkpath/fleet/ports/OwnerClient";
import type { Hono } from "hono";
import { DEFAULT_JSON_RPC_CLIENT_OPTIONS, JsonRpcClient } from "./JsonRpcClient.js";
import { DEFAULT_JSON_RPC_ENDPOINT_OPTIONS, JsonRpcEndpoint } from "./JsonRpcEndpoint.js";

const OWNER_PATH = "/owner";
const WATCH_METHOD = "owner.watch";
const REPORT_METHOD = "owner.report";
const QUERY_METHOD = "owner.query";
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

/** Calls the process that owns the fleet over JSON-RPC. */
export class HttpOwnerClient implements OwnerClient, Disposable {
    private readonly client = new JsonRpcClient({ ...DEFAULT_JSON_RPC_CLIENT_OPTIONS, connectionsPerAddress: 8 });

    public async watch(
        address: string,
        request: WatchRequest,
        timeoutMs: number
    ): Promise<WatchReply | OwnerCallFailure> {
        const reply = await this.client.call(address, OWNER_PATH, WATCH_METHOD, request, timeoutMs);
        if (reply.isErr()) {
            return reply.error.code === CONNECTION_REFUSED_CODE ? OwnerCallFailure.Refused : OwnerCallFailure.NoReply;
        }
        return reply.value as unknown as WatchReply;
    }

    public async report(
        address: string,
        report: EntryReport,
        timeoutMs: number
    ): Promise<OwnerCallFailure | undefined> {
        const reply = await this.client.call(address, OWNER_PATH, REPORT_METHOD, report, timeoutMs);
        return reply.isOk() ? undefined : OwnerCallFailure.NoReply;
    }

    public async query(address: string, query: JobQuery, timeoutMs: number): Promise<JobAnswer | undefined> {
        const reply = await this.client.call(address, OWNER_PATH, QUERY_METHOD, query, timeoutMs);
        const answer = reply.isOk() ? reply.value as Partial<JobAnswer> : {};
        return answer.phase === undefined ? undefined : answer as JobAnswer;
    }

    public dispose(): void {
        this.client.dispose();
    }
}

/** Adds the owner's methods to an HTTP application. */
export function mountOwnerService(application: Hono, service: OwnerService): void {
    const endpoint = new JsonRpcEndpoint(DEFAULT_JSON_RPC_ENDPOINT_OPTIONS);
    endpoint.register(WATCH_METHOD, parameters => service.watch(parameters as WatchRequest));
    endpoint.register(REPORT_METHOD, async parameters => {
        service.report(parameters as EntryReport);
        return true;
    });
    endpoint.register(QUERY_METHOD, async parameters => service.query(parameters as JobQuery) ?? {});
    endpoint.mount(application, OWNER_PATH);
}
