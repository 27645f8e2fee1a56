import { z } from "zod";

const name = z.string().min(1).max(1024);

const placedTaskSchema = z.object({ taskId: name, groupId: name, workerId: name }).readonly();

const handedOverWorkerSchema = z.object({ workerId: name, incarnation: name }).readonly();

const handedOverJobSchema = z.object({
    record: z.record(z.string(), z.unknown()),
    version: z.number().int(),
    payload: z.string(),
    answers: z.array(z.object({ taskIndex: z.number().int().nonnegative(), answer: z.string() })).readonly(),
    checkpoints: z.array(z.object({ taskId: name, checkpoint: z.string() })).readonly(),
    started: z.boolean(),
    cancelled: z.boolean(),
    pendingOutcome: z.record(z.string(), z.unknown()).optional()
}).readonly();

const handedOverGrantSchema = z.object({
    lookupId: name,
    team: z.string(),
    targetId: name,
    address: name,
    remainingMs: z.number()
}).readonly();

/** State of a slice that its owner hands to a successor after it has stopped sending commands. */
export const sliceHandoverSchema = z.object({
    jobs: z.array(handedOverJobSchema).readonly(),
    /** Whether `jobs` has all open requests of the slice. */
    jobsComplete: z.boolean(),
    placements: z.array(placedTaskSchema).readonly(),
    workers: z.array(handedOverWorkerSchema).readonly(),
    /** Whether no task of an earlier epoch can be running without being known to the owner. */
    holdReleased: z.boolean(),
    grants: z.array(handedOverGrantSchema).readonly(),
    /** Targets whose slots in use are all listed in `grants`. */
    targets: z.array(name).readonly()
}).readonly();

/** Offer of a slice to a named successor. */
export const handOverSchema = z.object({
    record: z.record(z.string(), z.unknown()),
    version: z.number().int(),
    state: sliceHandoverSchema
}).readonly();

/** State of a slice that is handed over. */
export type SliceHandover = z.infer<typeof sliceHandoverSchema>;

/** Open job of a slice that is handed over. */
export type HandedOverJob = z.infer<typeof handedOverJobSchema>;

/** Slot in use of a slice that is handed over. */
export type HandedOverGrant = z.infer<typeof handedOverGrantSchema>;

/** Worker of a slice that is handed over. */
export type HandedOverWorker = z.infer<typeof handedOverWorkerSchema>;

/** Message that offers a slice to a successor. */
export type HandOverMessage = z.infer<typeof handOverSchema>;
