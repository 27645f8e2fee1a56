import { err, ok, type Result, ResultAsync } from "neverthrow";
import { type Dispatcher, request } from "undici";
import type { z } from "zod";
import { type OperatorApiError, OperatorApiErrorKind } from "./OperatorApiError.js";
import { problemSchema } from "./ReplySchemas.js";

/** Call of the operators' API, independent of the server that it is sent to. */
export interface ApiCall {
    readonly method: HttpMethod;
    readonly path: string;
    readonly body?: object;
}

interface HttpReply {
    readonly status: number;
    readonly body: string;
}

/** HTTP methods of the operators' API. */
export enum HttpMethod {
    Get = "GET",
    Put = "PUT",
    Post = "POST",
    Delete = "DELETE"
}

const CONNECTION_ERROR_CODES = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT"
]);
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;
const MIN_ERROR_STATUS = 300;
const MIN_SERVER_ERROR_STATUS = 500;

/** Sends a call to several servers in turn until one of them gives a reply. */
export class FailoverCaller {
    constructor(
        private readonly servers: readonly string[],
        private readonly operatorKey: string,
        private readonly dispatcher: Dispatcher,
        private readonly timeoutMs: number
    ) {}

    /**
     * Tries the servers in turn. A read moves on to the next server after a lost reply or while a server is
     * unavailable; a change moves on only after a failed connection, since it may otherwise be executed twice.
     */
    public call<T>(call: ApiCall, schema: z.ZodType<T>): ResultAsync<T, OperatorApiError> {
        return new ResultAsync(this.tryServers(call, schema));
    }

    private async tryServers<T>(call: ApiCall, schema: z.ZodType<T>): Promise<Result<T, OperatorApiError>> {
        const failures: OperatorApiError[] = [];
        for (const server of this.servers) {
            const reply = await this.send(server, call);
            const result = reply.andThen(response => parseReply(server, response, schema));
            if (result.isOk() || !mayTryNextServer(call, result.error)) {
                return result;
            }
            failures.push(result.error);
        }
        const kind = failures.every(failure => failure.kind === OperatorApiErrorKind.NotReachable)
            ? OperatorApiErrorKind.NotReachable
            : OperatorApiErrorKind.Unavailable;
        return err({ kind, message: failures.map(failure => failure.message).join("; ") });
    }

    private async send(server: string, call: ApiCall): Promise<Result<HttpReply, OperatorApiError>> {
        try {
            const response = await request(server + call.path, {
                method: call.method,
                dispatcher: this.dispatcher,
                signal: AbortSignal.timeout(this.timeoutMs),
                headers: {
                    "accept": "application/json",
                    "authorization": `Bearer ${this.operatorKey}`,
                    ...(call.body === undefined ? {} : { "content-type": "application/json" })
                },
                ...(call.body === undefined ? {} : { body: JSON.stringify(call.body) })
            });
            return ok({ status: response.statusCode, body: await response.body.text() });
        }
        catch (error) {
            return err(toCallError(server, error));
        }
    }
}

function mayTryNextServer(call: ApiCall, error: OperatorApiError): boolean {
    if (error.kind === OperatorApiErrorKind.NotReachable) {
        return true;
    }
    const isTransient = error.kind === OperatorApiErrorKind.ReplyLost
        || error.kind === OperatorApiErrorKind.Unavailable;
    return isTransient && call.method === HttpMethod.Get;
}

function toCallError(server: string, error: unknown): OperatorApiError {
    const code = errorCodeOf(error);
    const detail = error instanceof Error ? error.message || code : String(error);
    if (CONNECTION_ERROR_CODES.has(code)) {
        return { kind: OperatorApiErrorKind.NotReachable, message: `${server} can't be reached: ${detail}` };
    }
    return { kind: OperatorApiErrorKind.ReplyLost, message: `${server} gave no whole reply: ${detail}` };
}

function errorCodeOf(error: unknown): string {
    const hasCode = typeof error === "object" && error && "code" in error;
    return hasCode ? String(error.code) : "";
}

function parseReply<T>(server: string, reply: HttpReply, schema: z.ZodType<T>): Result<T, OperatorApiError> {
    const body = parseJson(reply.body);
    if (reply.status >= MIN_ERROR_STATUS) {
        return err(toProblemError(server, reply.status, body));
    }
    const parsed = schema.safeParse(body);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const message = `${server} gave a reply of the wrong form: ${issue.path.join(".")}: ${issue.message}`;
        return err({ kind: OperatorApiErrorKind.ReplyLost, message });
    }
    return ok(parsed.data);
}

function toProblemError(server: string, status: number, body: unknown): OperatorApiError {
    const parsed = problemSchema.safeParse(body);
    const problem = parsed.success ? parsed.data : { type: "about:blank", title: `HTTP status ${status}`, status };
    const detail = problem.detail === undefined ? "" : `: ${problem.detail}`;
    return { kind: errorKindOf(status), message: `${server}: ${problem.title}${detail}`, problem };
}

function errorKindOf(status: number): OperatorApiErrorKind {
    if (status === STATUS_CONFLICT) {
        return OperatorApiErrorKind.Conflict;
    }
    if (status === STATUS_UNAVAILABLE) {
        return OperatorApiErrorKind.Unavailable;
    }
    return status >= MIN_SERVER_ERROR_STATUS ? OperatorApiErrorKind.ReplyLost : OperatorApiErrorKind.Refused;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
