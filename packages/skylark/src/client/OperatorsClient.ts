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
import type { OperatorsError } from "./OperatorsError.js";

/** Which events of the time line are asked for. */
export interface TimelineQuery {
    readonly requestId?: string;
    /** Only events of this last stretch of time. */
    readonly sinceMs?: number;
}

/** Reply to `GET /v1/explain/{requestId}`. */
export interface ExplainReply {
    readonly requestId: string;
    readonly state: string;
    readonly waiting?: WaitExplanation;
}

/** Calls the operators' interface of `skylarkd`. */
export interface OperatorsClient {
    readConfig(): ResultAsync<VersionedConfigText, OperatorsError>;
    applyConfig(body: ApplyConfigBody): ResultAsync<ApplyConfigReply, OperatorsError>;
    readConfigStatus(): ResultAsync<ConfigStatusReply, OperatorsError>;
    grantKey(team: string): ResultAsync<GrantKeyReply, OperatorsError>;
    withdrawKey(keyId: string): ResultAsync<WithdrawKeyReply, OperatorsError>;
    listKeys(): ResultAsync<ListKeysReply, OperatorsError>;
    readStatus(): ResultAsync<StatusReply, OperatorsError>;
    readTimeline(query: TimelineQuery): ResultAsync<TimelineReply, OperatorsError>;
    explain(requestId: string): ResultAsync<ExplainReply, OperatorsError>;
}
