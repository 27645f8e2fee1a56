import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import type { QueueDefinition } from "@skylarkpath/common/model/ClusterConfig";
import type { RequestSpec } from "@skylarkpath/common/model/Request";
import type { RequestReply } from "./RequestReply.js";

/** Request in the filter chain; each filter adds the fields that it determines. */
export interface RequestContext {
    /** Body as received; validated by the body filter. */
    readonly rawBody: unknown;
    /** Team key sent with the request. */
    readonly key?: string;
    readonly idempotencyKey?: string;
    readonly body?: SubmitBody;
    readonly queue?: QueueDefinition;
    readonly team?: string;
    readonly spec?: RequestSpec;
}

/** Handles a request: the rest of the chain or its last step. */
export type RequestHandler = (context: RequestContext) => Promise<RequestReply>;

/** Step of the chain: replies itself or calls `next`. */
export type RequestFilter = (context: RequestContext, next: RequestHandler) => Promise<RequestReply>;

/** Combines filters and a handler into one handler. */
export function chainFilters(filters: readonly RequestFilter[], handler: RequestHandler): RequestHandler {
    return filters.reduceRight<RequestHandler>(
        (next, filter) => context => filter(context, next),
        handler
    );
}
