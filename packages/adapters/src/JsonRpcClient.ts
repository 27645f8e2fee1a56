import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { JsonValue } from "@skylarkpath/common/platform/TableService";
import { createJSONRPCRequest, isJSONRPCResponse } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { exchange } from "./HttpExchange.js";
import { LinkDirection, type LinkModel } from "./LinkModel.js";
import { type RpcFailure, RpcFailureKind } from "./RpcFailure.js";

/** Options of a JSON-RPC client. */
export interface JsonRpcClientOptions {
    /** Maximum number of connections to one address. */
    readonly connectionsPerAddress: number;
    readonly connectTimeoutMs: number;
    /** A longer reply fails the call. */
    readonly maxReplyBytes: number;
    /** Simulates delay, bandwidth and cuts of the links to other machines; undefined simulates nothing. */
    readonly links?: LinkModel;
    /** Called with the size of each request and of its reply. */
    readonly onExchange?: (address: string, method: string, requestBytes: number, replyBytes: number) => void;
    /** Returns headers that authenticate a body to the receiver at an address. */
    readonly sign?: (body: string, address: string) => Readonly<Record<string, string>>;
    /** Checks that a reply is authenticated as the answer to the request with these headers. */
    readonly verifyReply?: (
        body: string,
        header: (name: string) => string | undefined,
        requestHeaders: Readonly<Record<string, string>>
    ) => boolean;
}

/** Default options of a JSON-RPC client. */
export const DEFAULT_JSON_RPC_CLIENT_OPTIONS: JsonRpcClientOptions = {
    connectionsPerAddress: 64,
    connectTimeoutMs: 1000,
    maxReplyBytes: 64 * 1024 * 1024
};

const UNSENT_ERROR_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

/** JSON-RPC 2.0 client over pooled HTTP connections. */
export class JsonRpcClient implements Disposable {
    private readonly pools = new Map<string, Pool>();
    private nextId = 1;

    constructor(private readonly options: JsonRpcClientOptions = DEFAULT_JSON_RPC_CLIENT_OPTIONS) {}

    /** Calls a method at `IP:PORT`; returns a failure instead of throwing it. */
    public async call(
        address: string,
        path: string,
        method: string,
        parameters: unknown,
        timeoutMs: number
    ): Promise<Result<JsonValue, RpcFailure>> {
        const body = JSON.stringify(createJSONRPCRequest(this.nextId++, method, parameters));
        const { links } = this.options;
        if (!links) {
            return this.send(address, path, method, body, timeoutMs);
        }
        if (!(await links.transmit(address, body.length, LinkDirection.Outbound))) {
            await delay(Math.min(timeoutMs, this.options.connectTimeoutMs));
            return err({ kind: RpcFailureKind.Unreachable, message: `${address}: the link is cut.` });
        }
        const reply = await this.send(address, path, method, body, timeoutMs);
        const replyBytes = reply.isOk() ? JSON.stringify(reply.value)?.length ?? 0 : 0;
        if (!(await links.transmit(address, replyBytes, LinkDirection.Inbound))) {
            await delay(timeoutMs);
            return err({ kind: RpcFailureKind.ReplyLost, message: `${address}: the link is cut.` });
        }
        return reply;
    }

    private async send(
        address: string,
        path: string,
        method: string,
        body: string,
        timeoutMs: number
    ): Promise<Result<JsonValue, RpcFailure>> {
        const signature = this.options.sign?.(body, address) ?? {};
        try {
            const headers = { "content-type": "application/json", ...signature };
            const reply = await exchange(
                this.poolOf(address),
                { method: "POST", path, headers, body },
                { timeoutMs, maximumPauseMs: timeoutMs, totalMs: timeoutMs }
            );
            const text = reply.body;
            this.options.onExchange?.(address, method, body.length, text.length);
            const header = (name: string): string | undefined => reply.headers[name]?.toString();
            if (reply.status === 200 && this.options.verifyReply?.(text, header, signature) === false) {
                return err({ kind: RpcFailureKind.ReplyLost, message: `${address}: the reply is not authenticated.` });
            }
            return readReply(reply.status, text);
        }
        catch (error) {
            return err(toFailure(address, error));
        }
    }

    public dispose(): void {
        for (const pool of this.pools.values()) {
            void pool.destroy();
        }
        this.pools.clear();
    }

    private poolOf(address: string): Pool {
        let pool = this.pools.get(address);
        if (!pool) {
            pool = new Pool(`http://${address}`, {
                connections: this.options.connectionsPerAddress,
                connect: { timeout: this.options.connectTimeoutMs },
                maxResponseSize: this.options.maxReplyBytes
            });
            this.pools.set(address, pool);
        }
        return pool;
    }
}

function delay(durationMs: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, durationMs);
    });
}

function readReply(status: number, text: string): Result<JsonValue, RpcFailure> {
    if (status !== 200) {
        return err({ kind: RpcFailureKind.Refused, message: `HTTP status ${status}.` });
    }
    const reply: unknown = JSON.parse(text);
    if (!isJSONRPCResponse(reply)) {
        return err({ kind: RpcFailureKind.ReplyLost, message: "The reply is not JSON-RPC." });
    }
    return reply.error
        ? err({ kind: RpcFailureKind.Refused, message: reply.error.message })
        : ok(reply.result as JsonValue);
}

function toFailure(address: string, error: unknown): RpcFailure {
    const code = (error as { code?: unknown; }).code;
    const message = error instanceof Error ? error.message : String(error);
    const kind = typeof code === "string" && UNSENT_ERROR_CODES.has(code)
        ? RpcFailureKind.Unreachable
        : RpcFailureKind.ReplyLost;
    return { kind, message: `${address}: ${message}`, code: typeof code === "string" ? code : undefined };
}
