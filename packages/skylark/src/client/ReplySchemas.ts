import type {
    ApplyConfigReply,
    ConfigStatusReply,
    GrantKeyReply,
    ListKeysReply,
    OperatorProblem,
    StatusReply,
    TimelineReply,
    WithdrawKeyReply
} from "@skylarkpath/common/api/OperatorsApi";
import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import { WaitCause } from "@skylarkpath/common/scheduling/TaskScheduler";
import { z } from "zod";
import type { ExplainReply } from "./OperatorApiClient.js";

const resources = z.looseObject({
    processorMillicores: z.number(),
    memoryBytes: z.number(),
    accelerators: z.number()
});

const finding = z.looseObject({
    position: z.looseObject({ line: z.number(), column: z.number() }),
    message: z.string()
});

/** Reply to `GET /v1/config`. */
export const configSchema: z.ZodType<VersionedConfigText> = z.looseObject({ version: z.number(), text: z.string() });

/** Reply to `PUT /v1/config`. */
export const applyConfigSchema: z.ZodType<ApplyConfigReply> = z.looseObject({ version: z.number() });

/** Reply to `GET /v1/config/status`. */
export const configStatusSchema: z.ZodType<ConfigStatusReply> = z.looseObject({
    version: z.number(),
    processes: z.array(z.looseObject({
        processId: z.string(),
        failureDomain: z.string(),
        version: z.number(),
        reached: z.boolean()
    }))
});

/** Reply to `POST /v1/keys`. */
export const grantKeySchema: z.ZodType<GrantKeyReply> = z.looseObject({
    keyId: z.string(),
    team: z.string(),
    key: z.string()
});

/** Reply to `DELETE /v1/keys/{keyId}`. */
export const withdrawKeySchema: z.ZodType<WithdrawKeyReply> = z.looseObject({
    keyId: z.string(),
    complete: z.boolean(),
    missing: z.array(z.string())
});

/** Reply to `GET /v1/keys`. Unlike in other replies, unknown fields are dropped, so that no secret can be printed. */
export const listKeysSchema: z.ZodType<ListKeysReply> = z.object({
    keys: z.array(z.object({
        keyId: z.string(),
        team: z.string(),
        grantedAtMs: z.number(),
        withdrawn: z.boolean()
    }))
});

/** Reply to `GET /v1/status`. */
export const statusSchema: z.ZodType<StatusReply> = z.looseObject({
    processId: z.string(),
    failureDomain: z.string(),
    ready: z.boolean(),
    configVersion: z.number(),
    storeReachable: z.boolean(),
    peers: z.array(z.looseObject({
        processId: z.string(),
        failureDomain: z.string(),
        region: z.string(),
        state: z.string(),
        configVersion: z.number()
    })),
    slices: z.array(z.looseObject({
        sliceId: z.string(),
        owner: z.string(),
        epoch: z.number(),
        workers: z.number(),
        fencedWorkers: z.number(),
        runningTasks: z.number(),
        waitingGroups: z.number(),
        heldRequests: z.number(),
        teams: z.array(z.looseObject({
            team: z.string(),
            running: resources,
            slotsInUse: z.number(),
            waitingGroups: z.number()
        })),
        services: z.record(z.string(), z.number())
    })),
    notReached: z.array(z.string())
});

/** Reply to `GET /v1/timeline`. */
export const timelineSchema: z.ZodType<TimelineReply> = z.looseObject({
    events: z.array(z.looseObject({
        number: z.number(),
        name: z.string(),
        time: z.looseObject({ wallClockMs: z.number(), counter: z.number() }),
        processId: z.string(),
        requestId: z.string().optional(),
        fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()]).optional())
    })),
    notReached: z.array(z.string())
});

/** Reply to `GET /v1/explain/{requestId}`. */
export const explainSchema: z.ZodType<ExplainReply> = z.looseObject({
    requestId: z.string(),
    state: z.string(),
    waiting: z.looseObject({ cause: z.enum(WaitCause), detail: z.string() }).optional()
});

/** Problem details of a failed call. */
export const problemSchema: z.ZodType<OperatorProblem> = z.looseObject({
    type: z.string().default("about:blank"),
    title: z.string(),
    status: z.number(),
    detail: z.string().optional(),
    findings: z.array(finding).optional(),
    winningVersion: z.number().optional()
});
