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
import type { WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ResultAsync } from "neverthrow";
import type { OperatorApiError } from "./OperatorApiError.js";

/** Filter for the events of the timeline. */
export interface TimelineQuery {
    readonly requestId?: string;
    /** Maximum age of the events. */
    readonly sinceMs?: number;
}

/** Reply to `GET /v1/explain/{requestId}`. */
export interface ExplainReply {
    readonly requestId: string;
    readonly state: string;
    readonly waiting?: WaitExplanation;
}

/** Client of the operators' API of `skylarkd`. */
export interface OperatorApiClient {
    readConfig(): ResultAsync<VersionedConfigText, OperatorApiError>;
    applyConfig(body: ApplyConfigBody): ResultAsync<ApplyConfigReply, OperatorApiError>;
    readConfigStatus(): ResultAsync<ConfigStatusReply, OperatorApiError>;
    grantKey(team: string): ResultAsync<GrantKeyReply, OperatorApiError>;
    withdrawKey(keyId: string): ResultAsync<WithdrawKeyReply, OperatorApiError>;
    listKeys(): ResultAsync<ListKeysReply, OperatorApiError>;
    readStatus(): ResultAsync<StatusReply, OperatorApiError>;
    readTimeline(query: TimelineQuery): ResultAsync<TimelineReply, OperatorApiError>;
    explain(requestId: string): ResultAsync<ExplainReply, OperatorApiError>;
}
