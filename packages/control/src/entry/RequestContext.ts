import type { SubmitBody } from "@skylarkpath/common/api/CallersApi";
import type { QueueDefinition } from "@skylarkpath/common/model/OperatorsText";
import type { RequestSpec } from "@skylarkpath/common/model/Request";
import type { RequestReply } from "./RequestReply.js";

/** Request on its way through the filters; each filter adds what it has found out. */
export interface RequestContext {
    /** Body as it was received; checked by the body filter. */
    readonly rawBody: unknown;
    /** Key that came with the request. */
    readonly key?: string;
    readonly idempotencyKey?: string;
    readonly body?: SubmitBody;
    readonly queue?: QueueDefinition;
    readonly team?: string;
    readonly spec?: RequestSpec;
}

/** Last step of the chain. */
export type RequestHandler = (context: RequestContext) => Promise<RequestReply>;

/** Step of the chain: answers itself or calls the next step. */
export type RequestFilter = (context: RequestContext, next: RequestHandler) => Promise<RequestReply>;

/** Joins filters and a handler to one handler. */
export function chainFilters(filters: readonly RequestFilter[], handler: RequestHandler): RequestHandler {
    return filters.reduceRight<RequestHandler>(
        (next, filter) => context => filter(context, next),
        handler
    );
}
