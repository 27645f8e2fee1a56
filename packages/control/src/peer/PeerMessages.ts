import { z } from "zod";

const name = z.string().min(1).max(256);
const wholeNumber = z.number().int().nonnegative();

/** Time stamp of a message. */
export const hybridTimeSchema = z.object({ wallClockMs: z.number(), counter: wholeNumber });

/** Frame of each message between processes. */
export const envelopeSchema = z.object({ time: hybridTimeSchema, from: name, body: z.unknown() });

/** Slice that a process owns. */
export const ownedSliceSchema = z.object({
    sliceId: name,
    epoch: wholeNumber,
    services: z.record(z.string(), wholeNumber),
    /** Version of the slice's row, for successors that keep a copy. */
    rowVersion: wholeNumber.optional()
}).readonly();

/** Heartbeat of a process. */
export const heartbeatSchema = z.object({
    processId: name,
    incarnation: name,
    failureDomain: name,
    region: name,
    address: name,
    configVersion: wholeNumber,
    stopping: z.boolean(),
    /** The process has reached the table service lately. */
    storeReached: z.boolean(),
    slices: z.array(ownedSliceSchema).max(64).readonly()
}).readonly();

/** Granted key, without its secret. */
export const keyRecordSchema = z.object({
    keyId: name,
    team: name,
    secretHash: name,
    grantedAtMs: z.number(),
    withdrawn: z.boolean()
}).readonly();

/** Change of the keys: a grant when it carries a record, else a withdrawal. */
export const keyChangeSchema = z.object({ keyId: name, record: keyRecordSchema.optional() }).readonly();

/** Position and age of the key knowledge of a process. */
export const keyStatusSchema = z.object({
    count: wholeNumber,
    digest: wholeNumber,
    /** The process has not reached the store lately, nor can one that vanished have done so. */
    storeLost: z.boolean(),
    /** Age of what is known from the store; absent before the first reading. */
    ageMs: z.number().nonnegative().optional()
}).readonly();

/** Changes of the keys that are sent to another process. */
export const pushKeysSchema = z.object({ changes: z.array(keyChangeSchema).max(10_000).readonly() }).readonly();

/** Answer of a process that took a message in. */
export const acknowledgementSchema = z.object({
    processId: name,
    /** All withdrawals of the message are in the store. */
    stored: z.boolean().optional()
}).readonly();

/** Question for the changes of the keys after a position. */
export const readKeysSchema = z.object({ afterCount: wholeNumber }).readonly();

/** Changes of the keys with the status of the process that sends them. */
export const readKeysReplySchema = z.object({
    status: keyStatusSchema,
    changes: z.array(keyChangeSchema).max(10_000).readonly()
}).readonly();

/** Heartbeat with its number; a higher one of the same incarnation is newer. */
export const processReportSchema = z.object({ sequence: wholeNumber, heartbeat: heartbeatSchema }).readonly();

/** Changed fields of a report. */
export const reportPatchSchema = z.object({
    processId: name,
    baseSequence: wholeNumber,
    sequence: wholeNumber,
    fields: z.record(z.string(), z.unknown()).readonly()
}).readonly();

/** Report of a process, or what changed in it. */
export const reportUpdateSchema = z.object({
    report: processReportSchema.optional(),
    patch: reportPatchSchema.optional()
}).readonly();

const reportUpdatesSchema = z.array(reportUpdateSchema).max(1000).readonly();

/** Question of a process to another one: what changed, and what the asking process has. */
export const heartbeatRequestSchema = z.object({
    processId: name,
    /** Reports that the receiver may lack. */
    news: reportUpdatesSchema.optional(),
    /** Number of the receiver's own report that is known. */
    known: z.string().max(512).optional(),
    /** Digests of the failure domains that the asking process wants to hear of. */
    wanted: z.record(z.string(), z.string().max(64)).readonly().optional()
}).readonly();

/** Processes of one failure domain as the answering process knows them; what is empty is left out. */
export const domainSummarySchema = z.object({
    /** Age of the oldest sign of life, but for the processes that are late. */
    ageMs: z.number().nonnegative(),
    late: z.record(z.string(), z.number().nonnegative()).readonly().optional(),
    /** All processes of the failure domain, when the digests differ. */
    processIds: z.array(name).max(1000).readonly().optional(),
    /** Age of the oldest answer about keys; absent when one is missing. */
    keyAgeMs: z.number().nonnegative().optional(),
    storeLost: z.boolean().optional(),
    news: reportUpdatesSchema.optional()
}).readonly();

/** Answer to a beat; what is empty is left out. */
export const heartbeatReplySchema = z.object({
    processId: name,
    incarnation: name,
    keys: keyStatusSchema,
    news: reportUpdatesSchema.optional(),
    /** Processes by failure domain. */
    groups: z.record(z.string(), domainSummarySchema).readonly().optional(),
    /** Processes of the own failure domain that the answering process does not hear. */
    silent: z.array(name).max(1000).readonly().optional()
}).readonly();

const amount = z.number().finite().nonnegative();

/** Amounts of all dimensions of a limit. */
export const allotmentSchema = z.object({
    resources: z.object({ processorMillicores: amount, memoryBytes: amount, accelerators: amount }).readonly(),
    slots: amount
}).readonly();

/** What one slice was granted of all teams' limits. */
export const sliceAllotmentSchema = z.object({
    sliceId: name,
    version: wholeNumber,
    teams: z.record(
        z.string(),
        z.object({
            granted: allotmentSchema,
            target: allotmentSchema.optional(),
            limit: allotmentSchema
        }).readonly()
    ).readonly()
}).readonly();

/** Question for the demand of a slice as changed since a sequence number. */
export const readDemandSchema = z.object({ sliceId: name, since: wholeNumber }).readonly();

/** Demand of the teams in one slice. */
export const demandDeltaSchema = z.object({
    sequence: wholeNumber,
    teams: z.record(z.string(), z.object({ wanted: allotmentSchema, quantum: allotmentSchema }).readonly()).readonly()
}).readonly();

/** Question for the operators' text by a process that has a version. */
export const readConfigSchema = z.object({ baseVersion: wholeNumber }).readonly();

/** Operators' text, whole or as a change of the base version. */
export const configUpdateSchema = z.object({
    version: wholeNumber,
    text: z.string().max(8_000_000).optional(),
    baseVersion: wholeNumber.optional(),
    delta: z.object({
        startLine: wholeNumber,
        removedCount: wholeNumber,
        lines: z.array(z.string()).max(200_000).readonly()
    }).readonly().optional()
}).readonly();

/** Request that was committed and now waits at its slice. */
export const submitSchema = z.object({ requestId: name }).readonly();

/** Wait for the outcome of a request. */
export const describeSchema = z.object({ requestId: name, waitMs: z.number().nonnegative() }).readonly();

/** Look-up that asks for a slot. */
export const acquireSchema = z.object({
    lookupId: name,
    sliceId: name,
    team: name,
    queue: name,
    remainingMs: z.number(),
    avoidTargetId: name.optional()
}).readonly();

/** Look-up that the owner sends to a target itself. */
export const forwardSchema = z.object({
    lookupId: name,
    sliceId: name,
    team: name,
    queue: name,
    remainingMs: z.number(),
    requestId: name,
    payload: z.string()
}).readonly();

/** Slot that is no longer needed. */
export const releaseSchema = z.object({
    lookupId: name,
    sliceId: name,
    latencyMs: z.number().nonnegative(),
    succeeded: z.boolean(),
    /** The target may still work on the attempt. */
    unfinished: z.boolean()
}).readonly();

/** Question of an owner whether a successor has taken its slice over. */
export const confirmSliceSchema = z.object({ sliceId: name, epoch: wholeNumber }).readonly();

/** Answer to the question of an owner. */
export interface ConfirmSliceReply {
    readonly superseded: boolean;
}

/** Question for the time line of one process. */
export const timelineSchema = z.object({ requestId: z.string().optional(), sinceMs: z.number().optional() }).readonly();

/** Message without content. */
export const emptySchema = z.object({}).readonly();

/** Heartbeat of a process. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Slice that a process owns. */
export type OwnedSliceStatus = z.infer<typeof ownedSliceSchema>;

/** Operators' text, whole or as a change. */
export type ConfigUpdate = z.infer<typeof configUpdateSchema>;

/** Change of the keys. */
export type KeyChange = z.infer<typeof keyChangeSchema>;

/** Position and age of key knowledge. */
export type KeyStatus = z.infer<typeof keyStatusSchema>;

/** Heartbeat with its number. */
export type ProcessReport = z.infer<typeof processReportSchema>;

/** Changed fields of a report. */
export type ReportPatch = z.infer<typeof reportPatchSchema>;

/** Report of a process, or what changed in it. */
export type ReportUpdate = z.infer<typeof reportUpdateSchema>;

/** Question of a process to another one. */
export type HeartbeatRequest = z.infer<typeof heartbeatRequestSchema>;

/** Answer to a beat. */
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;

/** Processes of one failure domain as another process knows them. */
export type DomainSummary = z.infer<typeof domainSummarySchema>;

/** Look-up that asks for a slot. */
export type AcquireMessage = z.infer<typeof acquireSchema>;

/** Look-up that the owner sends to a target itself. */
export type ForwardMessage = z.infer<typeof forwardSchema>;

/** Slot that is no longer needed. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;

/** Names of the methods between processes. */
export enum PeerMethod {
    Heartbeat = "membership.heartbeat",
    ReadConfig = "config.read",
    PushConfig = "config.push",
    ReadKeys = "keys.read",
    PushKeys = "keys.push",
    PushAllotment = "limits.push",
    ReadDemand = "limits.demand",
    SubmitRequest = "slice.submit",
    DescribeRequest = "slice.describe",
    CancelRequest = "slice.cancel",
    AcquireSlot = "lookup.acquire",
    ForwardLookup = "lookup.forward",
    ReleaseSlot = "lookup.release",
    ConfirmSlice = "slice.confirm",
    HandOverSlice = "slice.hand-over",
    ReadTimeline = "timeline.read",
    ReadStatus = "status.read"
}
