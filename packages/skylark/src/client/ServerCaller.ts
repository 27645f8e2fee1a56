import { err, ok, type Result, ResultAsync } from "neverthrow";
import { type Dispatcher, request } from "undici";
import type { z } from "zod";
import { type OperatorsError, OperatorsErrorKind } from "./OperatorsError.js";
import { problemSchema } from "./ReplySchemas.js";

/** Call of the operators' interface before a server is chosen. */
export interface HttpCall {
    readonly method: HttpMethod;
    readonly path: string;
    readonly body?: object;
}

interface HttpReply {
    readonly status: number;
    readonly body: string;
}

/** Methods of the operators' interface. */
export enum HttpMethod {
    Get = "GET",
    Put = "PUT",
    Post = "POST",
    Delete = "DELETE"
}

const UNSENT_ERROR_CODES = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "EAI_AGAIN",
    "UND_ERR_CONNECT_TIMEOUT"
]);
const STATUS_CONFLICT = 409;
const STATUS_UNAVAILABLE = 503;
const FIRST_ERROR_STATUS = 300;
const FIRST_SERVER_ERROR_STATUS = 500;

/** Sends a call to the first server that takes it. */
export class ServerCaller {
    constructor(
        private readonly servers: readonly string[],
        private readonly operatorKey: string,
        private readonly dispatcher: Dispatcher,
        private readonly timeoutMs: number
    ) {}

    /** Tries the servers in turn; a change is sent to another server only when the last one has not taken it. */
    public call<T>(call: HttpCall, schema: z.ZodType<T>): ResultAsync<T, OperatorsError> {
        return new ResultAsync(this.tryServers(call, schema));
    }

    private async tryServers<T>(call: HttpCall, schema: z.ZodType<T>): Promise<Result<T, OperatorsError>> {
        const failures: OperatorsError[] = [];
        for (const server of this.servers) {
            const reply = await this.send(server, call);
            const result = reply.andThen(received => readReply(server, received, schema));
            if (result.isOk() || !mayTryNext(call, result.error)) {
                return result;
            }
            failures.push(result.error);
        }
        const kind = failures.every(failure => failure.kind === OperatorsErrorKind.NotReachable)
            ? OperatorsErrorKind.NotReachable
            : OperatorsErrorKind.Unavailable;
        return err({ kind, message: failures.map(failure => failure.message).join("; ") });
    }

    private async send(server: string, call: HttpCall): Promise<Result<HttpReply, OperatorsError>> {
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
            return err(describeFailure(server, error));
        }
    }
}

function mayTryNext(call: HttpCall, error: OperatorsError): boolean {
    if (error.kind === OperatorsErrorKind.NotReachable) {
        return true;
    }
    const isPassing = error.kind === OperatorsErrorKind.ReplyLost || error.kind === OperatorsErrorKind.Unavailable;
    return isPassing && call.method === HttpMethod.Get;
}

function describeFailure(server: string, error: unknown): OperatorsError {
    const code = readCode(error);
    const detail = error instanceof Error ? error.message || code : String(error);
    if (UNSENT_ERROR_CODES.has(code)) {
        return { kind: OperatorsErrorKind.NotReachable, message: `${server} can't be reached: ${detail}` };
    }
    return { kind: OperatorsErrorKind.ReplyLost, message: `${server} gave no whole reply: ${detail}` };
}

function readCode(error: unknown): string {
    const hasCode = typeof error === "object" && error && "code" in error;
    return hasCode ? String(error.code) : "";
}

function readReply<T>(server: string, reply: HttpReply, schema: z.ZodType<T>): Result<T, OperatorsError> {
    const body = parseJson(reply.body);
    if (reply.status >= FIRST_ERROR_STATUS) {
        return err(readProblem(server, reply.status, body));
    }
    const parsed = schema.safeParse(body);
    if (!parsed.success) {
        const issue = parsed.error.issues[0];
        const message = `${server} gave a reply of the wrong form: ${issue.path.join(".")}: ${issue.message}`;
        return err({ kind: OperatorsErrorKind.ReplyLost, message });
    }
    return ok(parsed.data);
}

function readProblem(server: string, status: number, body: unknown): OperatorsError {
    const parsed = problemSchema.safeParse(body);
    const problem = parsed.success ? parsed.data : { type: "about:blank", title: `HTTP status ${status}`, status };
    const detail = problem.detail === undefined ? "" : `: ${problem.detail}`;
    return { kind: kindOfStatus(status), message: `${server}: ${problem.title}${detail}`, problem };
}

function kindOfStatus(status: number): OperatorsErrorKind {
    if (status === STATUS_CONFLICT) {
        return OperatorsErrorKind.Conflict;
    }
    if (status === STATUS_UNAVAILABLE) {
        return OperatorsErrorKind.Unavailable;
    }
    return status >= FIRST_SERVER_ERROR_STATUS ? OperatorsErrorKind.ReplyLost : OperatorsErrorKind.Refused;
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
