import type {
    ApplyConfigBody,
    ApplyConfigReply,
    ConfigStatusReply,
    GrantKeyReply,
    ListKeysReply,
    StatusReply,
    TimelineReply,
    WithdrawKeyReply
} from "@skylarkpath/common/api/OperatorsApi";
import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import type { ResultAsync } from "neverthrow";
import type { z } from "zod";
import type { ExplainReply, OperatorsClient, TimelineQuery } from "./OperatorsClient.js";
import type { OperatorsError } from "./OperatorsError.js";
import * as schemas from "./ReplySchemas.js";
import { type HttpCall, HttpMethod, type ServerCaller } from "./ServerCaller.js";

/** Calls the operators' interface over HTTP. */
export class HttpOperatorsClient implements OperatorsClient {
    constructor(private readonly caller: ServerCaller) {}

    public readConfig(): ResultAsync<VersionedConfigText, OperatorsError> {
        return this.get("/v1/config", schemas.configSchema);
    }

    public applyConfig(body: ApplyConfigBody): ResultAsync<ApplyConfigReply, OperatorsError> {
        return this.call({ method: HttpMethod.Put, path: "/v1/config", body }, schemas.applyConfigSchema);
    }

    public readConfigStatus(): ResultAsync<ConfigStatusReply, OperatorsError> {
        return this.get("/v1/config/status", schemas.configStatusSchema);
    }

    public grantKey(team: string): ResultAsync<GrantKeyReply, OperatorsError> {
        return this.call({ method: HttpMethod.Post, path: "/v1/keys", body: { team } }, schemas.grantKeySchema);
    }

    public withdrawKey(keyId: string): ResultAsync<WithdrawKeyReply, OperatorsError> {
        const path = `/v1/keys/${encodeURIComponent(keyId)}`;
        return this.call({ method: HttpMethod.Delete, path }, schemas.withdrawKeySchema);
    }

    public listKeys(): ResultAsync<ListKeysReply, OperatorsError> {
        return this.get("/v1/keys", schemas.listKeysSchema);
    }

    public readStatus(): ResultAsync<StatusReply, OperatorsError> {
        return this.get("/v1/status", schemas.statusSchema);
    }

    public readTimeline(query: TimelineQuery): ResultAsync<TimelineReply, OperatorsError> {
        const parameters = new URLSearchParams();
        if (query.requestId !== undefined) {
            parameters.set("requestId", query.requestId);
        }
        if (query.sinceMs !== undefined) {
            parameters.set("sinceMs", String(query.sinceMs));
        }
        const suffix = parameters.size > 0 ? `?${parameters.toString()}` : "";
        return this.get(`/v1/timeline${suffix}`, schemas.timelineSchema);
    }

    public explain(requestId: string): ResultAsync<ExplainReply, OperatorsError> {
        return this.get(`/v1/explain/${encodeURIComponent(requestId)}`, schemas.explainSchema);
    }

    private get<T>(path: string, schema: z.ZodType<T>): ResultAsync<T, OperatorsError> {
        return this.call({ method: HttpMethod.Get, path }, schema);
    }

    private call<T>(call: HttpCall, schema: z.ZodType<T>): ResultAsync<T, OperatorsError> {
        return this.caller.call(call, schema);
    }
}
