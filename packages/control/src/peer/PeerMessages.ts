import { z } from "zod";

const name = z.string().min(1).max(256);
const wholeNumber = z.number().int().nonnegative();

/** Hybrid logical time of a message. */
export const hybridTimeSchema = z.object({ wallClockMs: z.number(), counter: wholeNumber });

/** Envelope of each message between processes. */
export const envelopeSchema = z.object({ time: hybridTimeSchema, from: name, body: z.unknown() });

/** Slice that a process owns. */
export const ownedSliceSchema = z.object({
    sliceId: name,
    epoch: wholeNumber,
    services: z.record(z.string(), wholeNumber),
    /** Version of the slice's row in the store; successors compare their copy with it. */
    rowVersion: wholeNumber.optional()
}).readonly();

/** State that a process publishes about itself. */
export const heartbeatSchema = z.object({
    processId: name,
    incarnation: name,
    failureDomain: name,
    region: name,
    address: name,
    configVersion: wholeNumber,
    stopping: z.boolean(),
    /** The process reached the table service recently. */
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

/** Change of a key: a grant when it carries a record, otherwise a withdrawal. */
export const keyChangeSchema = z.object({ keyId: name, record: keyRecordSchema.optional() }).readonly();

/** Which key changes a process has, and how current its copy of the stored keys is. */
export const keyStatusSchema = z.object({
    count: wholeNumber,
    digest: wholeNumber,
    /** The process has not reached the store recently, and no process that left the live list can have done so. */
    storeLost: z.boolean(),
    /** Age of the data from the store, read directly or received from another process; absent before the first read. */
    ageMs: z.number().nonnegative().optional()
}).readonly();

/** Key changes that are pushed to another process. */
export const pushKeysSchema = z.object({ changes: z.array(keyChangeSchema).max(10_000).readonly() }).readonly();

/** Confirms that a process has applied a message. */
export const acknowledgementSchema = z.object({
    processId: name,
    /** All withdrawals of the message are in the store. */
    stored: z.boolean().optional()
}).readonly();

/** Request for the key changes after a position. */
export const readKeysSchema = z.object({ afterCount: wholeNumber }).readonly();

/** Key changes with the key status of the process that sends them. */
export const readKeysReplySchema = z.object({
    status: keyStatusSchema,
    changes: z.array(keyChangeSchema).max(10_000).readonly()
}).readonly();

/** Heartbeat with its sequence number; within an incarnation a higher number is newer. */
export const processReportSchema = z.object({ sequence: wholeNumber, heartbeat: heartbeatSchema }).readonly();

/** Changed fields of a report, relative to the report with sequence number `baseSequence`. */
export const reportPatchSchema = z.object({
    processId: name,
    baseSequence: wholeNumber,
    sequence: wholeNumber,
    fields: z.record(z.string(), z.unknown()).readonly()
}).readonly();

/** Report of a process, in full or as a patch. */
export const reportUpdateSchema = z.object({
    report: processReportSchema.optional(),
    patch: reportPatchSchema.optional()
}).readonly();

const reportUpdatesSchema = z.array(reportUpdateSchema).max(1000).readonly();

/** Heartbeat request: reports that changed, and which reports the sender already has. */
export const heartbeatRequestSchema = z.object({
    processId: name,
    /** Reports that the receiver may lack. */
    news: reportUpdatesSchema.optional(),
    /** Incarnation and sequence number of the receiver's own report that the sender has. */
    known: z.string().max(512).optional(),
    /** Failure domains that the sender asks about, each with the digest of the reports that it has. */
    wanted: z.record(z.string(), z.string().max(64)).readonly().optional()
}).readonly();

/** What a process knows about the processes of one failure domain; empty fields are omitted. */
export const domainSummarySchema = z.object({
    /** Longest time since a process was last seen, not counting the processes in `late`. */
    ageMs: z.number().nonnegative(),
    /** Time since it was last seen, for each process that has been silent for longer than the suspicion timeout. */
    late: z.record(z.string(), z.number().nonnegative()).readonly().optional(),
    /** All processes of the failure domain, when the digests differ. */
    processIds: z.array(name).max(1000).readonly().optional(),
    /** Oldest age in the key sync status of the processes; absent when the status of one is unknown. */
    keyAgeMs: z.number().nonnegative().optional(),
    /** All processes of the failure domain have lost the store. */
    storeLost: z.boolean().optional(),
    news: reportUpdatesSchema.optional()
}).readonly();

/** Reply to a heartbeat request; empty fields are omitted. */
export const heartbeatReplySchema = z.object({
    processId: name,
    incarnation: name,
    keys: keyStatusSchema,
    news: reportUpdatesSchema.optional(),
    /** Summaries by failure domain. */
    groups: z.record(z.string(), domainSummarySchema).readonly().optional(),
    /** Processes of the sender's failure domain that do not reply to the sender. */
    silent: z.array(name).max(1000).readonly().optional()
}).readonly();

const amount = z.number().finite().nonnegative();

/** Amount in each dimension of a team limit. */
export const allotmentSchema = z.object({
    resources: z.object({ processorMillicores: amount, memoryBytes: amount, accelerators: amount }).readonly(),
    slots: amount
}).readonly();

/** Parts of the teams' limits that are granted to one slice. */
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

/** Request for the changes in the demand of a slice since a sequence number. */
export const readDemandSchema = z.object({ sliceId: name, since: wholeNumber }).readonly();

/** Demand of the teams in one slice whose demand changed. */
export const demandDeltaSchema = z.object({
    sequence: wholeNumber,
    teams: z.record(z.string(), z.object({ wanted: allotmentSchema, quantum: allotmentSchema }).readonly()).readonly()
}).readonly();

/** Request for the configuration by a process that has the version `baseVersion`. */
export const readConfigSchema = z.object({ baseVersion: wholeNumber }).readonly();

/** Configuration, as full text or as a delta to the text of the base version. */
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

/** Names a committed request, to submit it to the owner of its slice or to cancel it. */
export const submitSchema = z.object({ requestId: name }).readonly();

/** Query for the state of a request. */
export const describeSchema = z.object({ requestId: name, waitMs: z.number().nonnegative() }).readonly();

/** Look-up that requests a slot. */
export const acquireSchema = z.object({
    lookupId: name,
    sliceId: name,
    team: name,
    queue: name,
    remainingMs: z.number(),
    avoidTargetId: name.optional()
}).readonly();

/** Look-up that the owner of the slice forwards to a target itself. */
export const forwardSchema = z.object({
    lookupId: name,
    sliceId: name,
    team: name,
    queue: name,
    remainingMs: z.number(),
    requestId: name,
    payload: z.string()
}).readonly();

/** Release of a slot, with the result of its use. */
export const releaseSchema = z.object({
    lookupId: name,
    sliceId: name,
    latencyMs: z.number().nonnegative(),
    succeeded: z.boolean(),
    /** The target may still be working on the attempt. */
    unfinished: z.boolean()
}).readonly();

/** Query of a slice owner whether a successor has taken over its slice. */
export const confirmSliceSchema = z.object({ sliceId: name, epoch: wholeNumber }).readonly();

/** Reply to a slice owner that asks whether its slice was taken over. */
export interface ConfirmSliceReply {
    readonly superseded: boolean;
}

/** Query for the timeline of one process. */
export const timelineSchema = z.object({ requestId: z.string().optional(), sinceMs: z.number().optional() }).readonly();

/** Message without content. */
export const emptySchema = z.object({}).readonly();

/** State that a process publishes about itself. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Slice that a process owns. */
export type OwnedSliceStatus = z.infer<typeof ownedSliceSchema>;

/** Configuration, as full text or as a delta. */
export type ConfigUpdate = z.infer<typeof configUpdateSchema>;

/** Grant or withdrawal of a key. */
export type KeyChange = z.infer<typeof keyChangeSchema>;

/** Which key changes a process has, and how current its copy of the stored keys is. */
export type KeyStatus = z.infer<typeof keyStatusSchema>;

/** Heartbeat with its sequence number. */
export type ProcessReport = z.infer<typeof processReportSchema>;

/** Changed fields of a report. */
export type ReportPatch = z.infer<typeof reportPatchSchema>;

/** Report of a process, in full or as a patch. */
export type ReportUpdate = z.infer<typeof reportUpdateSchema>;

/** Heartbeat request of one process to another. */
export type HeartbeatRequest = z.infer<typeof heartbeatRequestSchema>;

/** Reply to a heartbeat request. */
export type HeartbeatReply = z.infer<typeof heartbeatReplySchema>;

/** What a process knows about the processes of one failure domain. */
export type DomainSummary = z.infer<typeof domainSummarySchema>;

/** Look-up that requests a slot. */
export type AcquireMessage = z.infer<typeof acquireSchema>;

/** Look-up that the owner of the slice forwards to a target itself. */
export type ForwardMessage = z.infer<typeof forwardSchema>;

/** Release of a slot, with the result of its use. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;

/** Methods that processes call on each other. */
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
