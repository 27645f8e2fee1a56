import type { RequestView, SubmitBody } from "@skylarkpath/common/api/CallersApi";
import type { GrantKeyReply, StatusReply } from "@skylarkpath/common/api/OperatorsApi";
import { Agent, request } from "undici";
import type { ClusterPlan, PlannedEntry } from "./ClusterPlan.js";

/** Reply to a caller. */
export interface CallerReply {
    /** HTTP status; 0 when no complete reply was received. */
    readonly status: number;
    /** Absent when no complete reply was received. */
    readonly view?: RequestView;
}

/** Credentials and idempotency key of a submission. */
export interface SubmitOptions {
    readonly key?: string;
    readonly idempotencyKey?: string;
}

type OperatorMethod = "GET" | "PUT" | "POST" | "DELETE";

const CALL_TIMEOUT_MS = 60_000;

/** HTTP client for the callers' and operators' interfaces of the entries. */
export class ClusterClient {
    private readonly agent = new Agent({
        connections: 512,
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: CALL_TIMEOUT_MS
    });

    constructor(private readonly plan: ClusterPlan) {}

    /** Submits a request to an entry. */
    public submit(entry: PlannedEntry, body: SubmitBody, options: SubmitOptions): Promise<CallerReply> {
        const headers = { ...keyHeader(options.key), ...idempotencyHeader(options.idempotencyKey) };
        return this.callCallerApi("POST", `http://${entry.callersAddress}/v1/requests`, headers, JSON.stringify(body));
    }

    /** Reads the state of a request; the entry waits for the final outcome at most `waitMs`. */
    public describe(entry: PlannedEntry, requestId: string, key: string, waitMs: number): Promise<CallerReply> {
        const url = `http://${entry.callersAddress}/v1/requests/${encodeURIComponent(requestId)}?waitMs=${waitMs}`;
        return this.callCallerApi("GET", url, keyHeader(key));
    }

    /** Cancels a request; the entry waits for the final outcome at most `waitMs`. */
    public cancel(entry: PlannedEntry, requestId: string, key: string, waitMs: number): Promise<CallerReply> {
        const url = `http://${entry.callersAddress}/v1/requests/${encodeURIComponent(requestId)}?waitMs=${waitMs}`;
        return this.callCallerApi("DELETE", url, keyHeader(key));
    }

    /** Applies a configuration text that is based on version `baseVersion`; resolves with the new version. */
    public applyConfig(entry: PlannedEntry, text: string, baseVersion: number): Promise<{ readonly version: number; }> {
        return this.callOperatorApi(entry, "PUT", "/v1/config", { baseVersion, text });
    }

    /** Creates a caller key for a team. */
    public grantKey(entry: PlannedEntry, team: string): Promise<GrantKeyReply> {
        return this.callOperatorApi(entry, "POST", "/v1/keys", { team });
    }

    /** Withdraws a caller key; `complete` is true if the store or every live process has recorded the withdrawal. */
    public withdrawKey(entry: PlannedEntry, keyId: string): Promise<{ readonly complete: boolean; }> {
        return this.callOperatorApi(entry, "DELETE", `/v1/keys/${keyId}`);
    }

    /** Reads the status of the deployment. */
    public status(entry: PlannedEntry): Promise<StatusReply> {
        return this.callOperatorApi(entry, "GET", "/v1/status");
    }

    /** Calls the operators' interface of an entry; throws when the status is 300 or above. */
    public async callOperatorApi<T>(
        entry: PlannedEntry,
        method: OperatorMethod,
        path: string,
        body?: object
    ): Promise<T> {
        const reply = await request(`http://${entry.operatorsAddress}${path}`, {
            method,
            headers: { ...keyHeader(this.plan.operatorKey), "content-type": "application/json" },
            body: body && JSON.stringify(body),
            dispatcher: this.agent
        });
        const value: unknown = await reply.body.json();
        if (reply.statusCode >= 300) {
            throw new Error(`${method} ${path}: ${reply.statusCode} ${JSON.stringify(value)}`);
        }
        return value as T;
    }

    /** Closes all connections. */
    public async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async callCallerApi(
        method: "GET" | "POST" | "DELETE",
        url: string,
        headers: Readonly<Record<string, string>>,
        body?: string
    ): Promise<CallerReply> {
        try {
            const reply = await request(url, {
                method,
                headers: { ...headers, "content-type": "application/json" },
                body,
                dispatcher: this.agent
            });
            return { status: reply.statusCode, view: await reply.body.json() as RequestView };
        }
        catch {
            return { status: 0 };
        }
    }
}

function keyHeader(key: string | undefined): Readonly<Record<string, string>> {
    return key === undefined ? {} : { authorization: `Bearer ${key}` };
}

function idempotencyHeader(key: string | undefined): Readonly<Record<string, string>> {
    return key === undefined ? {} : { "idempotency-key": key };
}
