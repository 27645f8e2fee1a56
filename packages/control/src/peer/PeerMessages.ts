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
    slices: z.array(ownedSliceSchema).max(64).readonly()
}).readonly();

/** Withdrawn keys that a process knows and the age of its key knowledge. */
export const keyNewsSchema = z.object({
    withdrawn: z.array(name).max(100_000).readonly(),
    ageMs: z.number().nonnegative()
}).readonly();

/** Versioned operators' text. */
export const versionedTextSchema = z.object({ version: wholeNumber, text: z.string() }).readonly();

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
export type OwnedSliceNews = z.infer<typeof ownedSliceSchema>;

/** Withdrawn keys and the age of key knowledge. */
export type KeyNews = z.infer<typeof keyNewsSchema>;

/** Look-up that asks for a slot. */
export type AcquireMessage = z.infer<typeof acquireSchema>;

/** Slot that is no longer needed. */
export type ReleaseMessage = z.infer<typeof releaseSchema>;

/** Names of the methods between processes. */
export enum PeerMethod {
    Heartbeat = "membership.heartbeat",
    ReadConfig = "config.read",
    ReadKeys = "keys.read",
    SubmitRequest = "slice.submit",
    DescribeRequest = "slice.describe",
    CancelRequest = "slice.cancel",
    AcquireSlot = "lookup.acquire",
    ReleaseSlot = "lookup.release",
    ConfirmSlice = "slice.confirm",
    HandOverSlice = "slice.hand-over",
    ReadTimeline = "timeline.read",
    ReadStatus = "status.read"
}
