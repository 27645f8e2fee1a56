import type { Hono, MiddlewareHandler } from "hono";
import { bodyLimit } from "hono/body-limit";
import { JSONRPCServer } from "json-rpc-2.0";

/** Handles the calls of one method: receives the parameters and returns the result to send. */
export type RpcHandler = (parameters: unknown) => Promise<unknown>;

/** Options of a JSON-RPC endpoint. */
export interface JsonRpcEndpointOptions {
    readonly maxBodyBytes: number;
    /** Checks that a request body is authenticated. */
    readonly verify?: (body: string, header: (name: string) => string | undefined) => boolean;
    /** Returns headers that authenticate a reply. */
    readonly signReply?: (
        body: string,
        requestHeader: (name: string) => string | undefined
    ) => Readonly<Record<string, string>>;
    /** Called with the size of each request and of its reply. */
    readonly onExchange?: (requestBytes: number, replyBytes: number) => void;
}

/** Default options of a JSON-RPC endpoint. */
export const DEFAULT_JSON_RPC_ENDPOINT_OPTIONS: JsonRpcEndpointOptions = { maxBodyBytes: 16 * 1024 * 1024 };

/** Serves JSON-RPC 2.0 methods over HTTP. */
export class JsonRpcEndpoint {
    private readonly server = new JSONRPCServer({ errorListener: () => undefined });

    constructor(private readonly options: JsonRpcEndpointOptions = DEFAULT_JSON_RPC_ENDPOINT_OPTIONS) {}

    /** Adds a method; its handler is called for each request. */
    public register(method: string, handler: RpcHandler): void {
        this.server.addMethod(method, handler);
    }

    /** Serves the methods on a path of an HTTP application. */
    public mount(application: Hono, path: string): void {
        application.use(path, limitBody(this.options.maxBodyBytes));
        application.post(path, async context => {
            const body = await context.req.text();
            if (this.options.verify && !this.options.verify(body, name => context.req.header(name))) {
                return context.text("The message is not authenticated.", 401);
            }
            const reply = await this.server.receiveJSON(body);
            const replyBody = JSON.stringify(reply ?? {});
            this.options.onExchange?.(body.length, replyBody.length);
            const signature = this.options.signReply?.(replyBody, name => context.req.header(name));
            return context.body(replyBody, 200, { "content-type": "application/json", ...signature });
        });
    }
}

/** Limits the size of request bodies. A body of declared length is not read as a stream, which costs most of a call. */
function limitBody(maxBodyBytes: number): MiddlewareHandler {
    const limitStream = bodyLimit({ maxSize: maxBodyBytes });
    return async (context, next) => {
        const { req } = context;
        const declaredLength = req.header("content-length");
        if (declaredLength === undefined || req.header("transfer-encoding") !== undefined) {
            return limitStream(context, next);
        }
        return Number(declaredLength) > maxBodyBytes ? context.text("The message is too large.", 413) : next();
    };
}
