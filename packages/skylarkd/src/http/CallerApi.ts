import type { CallerProblem, RequestView } from "@skylarkpath/common/api/CallersApi";
import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import type { RequestController } from "@skylarkpath/control/entry/RequestController";
import { notRun, type RequestReply } from "@skylarkpath/control/entry/RequestReply";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { readBearerKey } from "./BearerKey.js";

/** Limits of the HTTP interface for callers. */
export interface CallerApiOptions {
    readonly maxBodyBytes: number;
    readonly maxWaitMs: number;
}

const MILLISECONDS_PER_SECOND = 1000;
const PROBLEM_TYPE_PREFIX = "urn:skylarkpath:problem:";

const STATUS_BY_REASON: Readonly<Partial<Record<OutcomeReason, ContentfulStatusCode>>> = {
    [OutcomeReason.BadRequest]: 400,
    [OutcomeReason.TooLarge]: 413,
    [OutcomeReason.KeyMissing]: 401,
    [OutcomeReason.KeyInvalid]: 401,
    [OutcomeReason.QueueUnknown]: 404,
    [OutcomeReason.RequestUnknown]: 404,
    [OutcomeReason.IdempotencyConflict]: 409,
    [OutcomeReason.Infeasible]: 422,
    [OutcomeReason.LimitReached]: 429,
    [OutcomeReason.DeadlinePassed]: 504,
    [OutcomeReason.AnswerIncomplete]: 504
};

/** HTTP interface for callers. */
export class CallerApi {
    constructor(private readonly requests: RequestController, private readonly options: CallerApiOptions) {}

    /** Adds the interface to an HTTP application. */
    public mount(application: Hono): void {
        const limit = bodyLimit({
            maxSize: this.options.maxBodyBytes,
            onError: context => sendProblem(context, notRun(OutcomeReason.TooLarge, this.tooLargeDetail))
        });
        application.post("/v1/requests", limit, context => this.submit(context));
        application.get("/v1/requests/:id", context => this.describe(context));
        application.delete("/v1/requests/:id", context => this.cancel(context));
    }

    private get tooLargeDetail(): string {
        return `The body is larger than ${this.options.maxBodyBytes} bytes.`;
    }

    private async submit(context: Context): Promise<Response> {
        const text = await context.req.text();
        const rawBody = parseJson(text);
        if (rawBody === undefined) {
            return sendProblem(context, notRun(OutcomeReason.BadRequest, "The body is not JSON."));
        }
        const reply = await this.requests.submit({
            rawBody,
            key: readBearerKey(context),
            idempotencyKey: context.req.header("idempotency-key")
        });
        return sendReply(context, reply);
    }

    private async describe(context: Context): Promise<Response> {
        const reply = await this.requests.describe(this.readQuery(context));
        return sendQueryReply(context, reply);
    }

    private async cancel(context: Context): Promise<Response> {
        const reply = await this.requests.cancel(this.readQuery(context));
        return sendQueryReply(context, reply);
    }

    private readQuery(context: Context): Parameters<RequestController["describe"]>[0] {
        const waitMs = Number(context.req.query("waitMs") ?? 0);
        const boundedWaitMs = Number.isFinite(waitMs) ? Math.min(Math.max(0, waitMs), this.options.maxWaitMs) : 0;
        return { requestId: context.req.param("id")!, key: readBearerKey(context), waitMs: boundedWaitMs };
    }
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

/** Sends the reply to a submitted request; one that did not run or whose state is unknown becomes a problem reply. */
function sendReply(context: Context, reply: RequestReply): Response {
    const { state } = reply.outcome;
    if (reply.requestId !== undefined && state !== OutcomeState.NotRun && state !== OutcomeState.Unknown) {
        return context.json(toView(reply), state === OutcomeState.Accepted ? 202 : 200);
    }
    return sendProblem(context, reply);
}

/** Sends the reply to a status query or cancellation; only a failed call becomes a problem reply. */
function sendQueryReply(context: Context, reply: RequestReply): Response {
    return reply.requestId === undefined ? sendProblem(context, reply) : context.json(toView(reply), 200);
}

function sendProblem(context: Context, reply: RequestReply): Response {
    const { state, detail, retryAfterMs } = reply.outcome;
    const reason = reply.outcome.reason ?? OutcomeReason.OwnerLost;
    const status = STATUS_BY_REASON[reason] ?? 503;
    if (retryAfterMs !== undefined) {
        context.header("retry-after", String(Math.ceil(retryAfterMs / MILLISECONDS_PER_SECOND)));
    }
    const problem: CallerProblem & { readonly requestId?: string; } = {
        type: `${PROBLEM_TYPE_PREFIX}${reason}`,
        title: reason,
        status,
        state,
        reason,
        detail,
        retryAfterMs,
        requestId: reply.requestId
    };
    return context.body(JSON.stringify(problem), status, { "content-type": "application/problem+json" });
}

function toView(reply: RequestReply): RequestView {
    const { state, reason, detail, answers, retryAfterMs } = reply.outcome;
    return { requestId: reply.requestId!, state, reason, detail, answers, retryAfterMs, waiting: reply.waiting };
}
