import type { ApplyConfigReply, ListKeysReply, OperatorProblem } from "@skylarkpath/common/api/OperatorsApi";
import type { SecretHasher } from "@skylarkpath/common/base/SecretHasher";
import { type ConfigError, ConfigErrorKind } from "@skylarkpath/control/config/ConfigController";
import type { OperatorController } from "@skylarkpath/control/operators/OperatorController";
import type { SkylarkProcess } from "@skylarkpath/control/process/SkylarkProcess";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import type { ContentfulStatusCode } from "hono/utils/http-status";
import { z } from "zod";
import { readBearerKey } from "./BearerKey.js";

const applySchema = z.strictObject({ baseVersion: z.number().int().nonnegative(), text: z.string() });
const grantSchema = z.strictObject({ team: z.string().min(1).max(200) });
const MAX_BODY_BYTES = 2 * 1024 * 1024;

/** HTTP interface for operators. */
export class OperatorApi {
    constructor(
        private readonly process: SkylarkProcess,
        private readonly operators: OperatorController,
        private readonly hasher: SecretHasher,
        private readonly keyHashes: readonly string[]
    ) {}

    /** Adds the interface to an HTTP application. */
    public mount(application: Hono): void {
        application.use("/v1/*", bodyLimit({ maxSize: MAX_BODY_BYTES }));
        application.use("/v1/*", async (context, next) => {
            if (!this.isOperator(context)) {
                return sendProblem(context, 401, "operator-key-invalid", "An operator key is needed.");
            }
            await next();
            return undefined;
        });
        application.get("/v1/config", context => this.showConfig(context));
        application.put("/v1/config", context => this.applyConfig(context));
        application.get("/v1/config/status", context => context.json(this.operators.configStatus()));
        application.get("/v1/keys", context => this.listKeys(context));
        application.post("/v1/keys", context => this.grantKey(context));
        application.delete("/v1/keys/:id", context => this.withdrawKey(context));
        application.get("/v1/status", async context => context.json(await this.operators.status()));
        application.get("/v1/timeline", context => this.readTimeline(context));
        application.get("/v1/explain/:id", context => this.explain(context));
    }

    private isOperator(context: Context): boolean {
        const hash = this.hasher.hash(readBearerKey(context) ?? "");
        return this.keyHashes.filter(known => this.hasher.constantTimeEquals(known, hash)).length > 0;
    }

    private showConfig(context: Context): Response {
        const current = this.process.config.current;
        return context.json({ version: current?.version ?? 0, text: current?.text ?? "" });
    }

    private async applyConfig(context: Context): Promise<Response> {
        const body = applySchema.safeParse(await readJson(context));
        if (!body.success) {
            return sendProblem(context, 400, "bad-request", describeIssues(body.error));
        }
        const applied = await this.process.config.apply(body.data.text, body.data.baseVersion);
        if (applied.isErr()) {
            return sendConfigError(context, applied.error);
        }
        const reply: ApplyConfigReply = { version: applied.value };
        return context.json(reply);
    }

    private listKeys(context: Context): Response {
        const reply: ListKeysReply = {
            keys: this.process.keys.list().map(({ keyId, team, grantedAtMs, withdrawn }) => ({
                keyId,
                team,
                grantedAtMs,
                withdrawn
            }))
        };
        return context.json(reply);
    }

    private async grantKey(context: Context): Promise<Response> {
        const body = grantSchema.safeParse(await readJson(context));
        if (!body.success) {
            return sendProblem(context, 400, "bad-request", describeIssues(body.error));
        }
        const { team } = body.data;
        const text = this.process.config.current?.parsed;
        if (!text?.teams.some(known => known.name === team)) {
            return sendProblem(context, 404, "team-unknown", `There is no team "${team}" in the operators' text.`);
        }
        const granted = await this.process.keys.grant(team);
        return granted.isOk()
            ? context.json(granted.value, 201)
            : sendProblem(context, 503, "store-unavailable", granted.error.message);
    }

    private async withdrawKey(context: Context): Promise<Response> {
        const keyId = context.req.param("id")!;
        const withdrawal = await this.process.keys.withdraw(keyId);
        if (withdrawal.isErr()) {
            return sendProblem(context, 503, "store-unavailable", withdrawal.error.message);
        }
        return withdrawal.value
            ? context.json(withdrawal.value)
            : sendProblem(context, 404, "key-unknown", `There is no key "${keyId}".`);
    }

    private async readTimeline(context: Context): Promise<Response> {
        const since = context.req.query("sinceMs");
        const sinceMs = since === undefined ? undefined : Number(since);
        if (sinceMs !== undefined && !Number.isFinite(sinceMs)) {
            return sendProblem(context, 400, "bad-request", "sinceMs: not a number");
        }
        return context.json(await this.operators.readTimeline({ requestId: context.req.query("requestId"), sinceMs }));
    }

    private async explain(context: Context): Promise<Response> {
        const requestId = context.req.param("id")!;
        const reply = await this.process.requests.explain(requestId);
        return reply.requestId === undefined
            ? sendProblem(context, 404, "request-unknown", `There is no request "${requestId}".`)
            : context.json({ requestId, ...reply.outcome, waiting: reply.waiting });
    }
}

async function readJson(context: Context): Promise<unknown> {
    try {
        return await context.req.json();
    }
    catch {
        return undefined;
    }
}

function describeIssues(error: z.ZodError): string {
    return error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
}

function sendConfigError(context: Context, error: ConfigError): Response {
    switch (error.kind) {
        case ConfigErrorKind.Findings:
            return sendProblem(context, 422, "findings", "The text has findings.", { findings: error.findings });
        case ConfigErrorKind.Conflict:
            return sendProblem(context, 409, "conflict", `Version ${error.winningVersion} is in force.`, {
                winningVersion: error.winningVersion
            });
        case ConfigErrorKind.StoreUnavailable:
            return sendProblem(context, 503, "store-unavailable", "The table service is not reached.");
    }
}

function sendProblem(
    context: Context,
    status: ContentfulStatusCode,
    kind: string,
    detail: string,
    more: Partial<OperatorProblem> = {}
): Response {
    const problem: OperatorProblem = { type: `urn:skylarkpath:problem:${kind}`, title: kind, status, detail, ...more };
    return context.body(JSON.stringify(problem), status, { "content-type": "application/problem+json" });
}
