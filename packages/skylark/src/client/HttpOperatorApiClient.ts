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
import { type ApiCall, type FailoverCaller, HttpMethod } from "./FailoverCaller.js";
import type { ExplainReply, OperatorApiClient, TimelineQuery } from "./OperatorApiClient.js";
import type { OperatorApiError } from "./OperatorApiError.js";
import * as schemas from "./ReplySchemas.js";

/** Client of the operators' API over HTTP. */
export class HttpOperatorApiClient implements OperatorApiClient {
    constructor(private readonly caller: FailoverCaller) {}

    public readConfig(): ResultAsync<VersionedConfigText, OperatorApiError> {
        return this.get("/v1/config", schemas.configSchema);
    }

    public applyConfig(body: ApplyConfigBody): ResultAsync<ApplyConfigReply, OperatorApiError> {
        return this.call({ method: HttpMethod.Put, path: "/v1/config", body }, schemas.applyConfigSchema);
    }

    public readConfigStatus(): ResultAsync<ConfigStatusReply, OperatorApiError> {
        return this.get("/v1/config/status", schemas.configStatusSchema);
    }

    public grantKey(team: string): ResultAsync<GrantKeyReply, OperatorApiError> {
        return this.call({ method: HttpMethod.Post, path: "/v1/keys", body: { team } }, schemas.grantKeySchema);
    }

    public withdrawKey(keyId: string): ResultAsync<WithdrawKeyReply, OperatorApiError> {
        const path = `/v1/keys/${encodeURIComponent(keyId)}`;
        return this.call({ method: HttpMethod.Delete, path }, schemas.withdrawKeySchema);
    }

    public listKeys(): ResultAsync<ListKeysReply, OperatorApiError> {
        return this.get("/v1/keys", schemas.listKeysSchema);
    }

    public readStatus(): ResultAsync<StatusReply, OperatorApiError> {
        return this.get("/v1/status", schemas.statusSchema);
    }

    public readTimeline(query: TimelineQuery): ResultAsync<TimelineReply, OperatorApiError> {
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

    public explain(requestId: string): ResultAsync<ExplainReply, OperatorApiError> {
        return this.get(`/v1/explain/${encodeURIComponent(requestId)}`, schemas.explainSchema);
    }

    private get<T>(path: string, schema: z.ZodType<T>): ResultAsync<T, OperatorApiError> {
        return this.call({ method: HttpMethod.Get, path }, schema);
    }

    private call<T>(call: ApiCall, schema: z.ZodType<T>): ResultAsync<T, OperatorApiError> {
        return this.caller.call(call, schema);
    }
}
