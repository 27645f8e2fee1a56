import { OutcomeReason } from "@skylarkpath/common/model/Request";
import { z } from "zod";
import type { RequestFilter } from "./RequestContext.js";
import { notRun } from "./RequestReply.js";

const MAX_TASKS = 10_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 200;
const nonNegativeInteger = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);

const submitSchema = z.strictObject({
    queue: z.string().min(1).max(200),
    payload: z.string(),
    deadlineMs: z.number().int().positive().max(Number.MAX_SAFE_INTEGER).optional(),
    tasks: z.strictObject({
        count: z.number().int().positive().max(MAX_TASKS),
        processorMillicores: nonNegativeInteger,
        memoryBytes: nonNegativeInteger,
        accelerators: nonNegativeInteger.optional(),
        declaredDurationMs: nonNegativeInteger.optional(),
        checkpointable: z.boolean().optional()
    }).optional()
});

/** Validates the body and the length of the Idempotency-Key; lists every error of the body with its path. */
export const bodyFilter: RequestFilter = async (context, next) => {
    const body = submitSchema.safeParse(context.rawBody);
    if (!body.success) {
        const detail = body.error.issues.map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`).join("; ");
        return notRun(OutcomeReason.BadRequest, detail);
    }
    if ((context.idempotencyKey?.length ?? 0) > MAX_IDEMPOTENCY_KEY_LENGTH) {
        return notRun(OutcomeReason.BadRequest, `Idempotency-Key: at most ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`);
    }
    return next({ ...context, body: body.data });
};
