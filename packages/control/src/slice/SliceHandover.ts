import { z } from "zod";

const name = z.string().min(1).max(1024);

const placedTaskSchema = z.object({ taskId: name, groupId: name, workerId: name }).readonly();

const handedWorkerSchema = z.object({ workerId: name, incarnation: name }).readonly();

const handedJobSchema = z.object({
    record: z.record(z.string(), z.unknown()),
    version: z.number().int(),
    payload: z.string(),
    answers: z.array(z.object({ taskIndex: z.number().int().nonnegative(), answer: z.string() })).readonly(),
    checkpoints: z.array(z.object({ taskId: name, checkpoint: z.string() })).readonly(),
    started: z.boolean(),
    cancelled: z.boolean(),
    pendingOutcome: z.record(z.string(), z.unknown()).optional()
}).readonly();

const handedGrantSchema = z.object({
    lookupId: name,
    team: z.string(),
    targetId: name,
    address: name,
    remainingMs: z.number()
}).readonly();

/** State of a slice that its owner hands to a successor after it has stopped commanding. */
export const sliceHandoverSchema = z.object({
    jobs: z.array(handedJobSchema).readonly(),
    /** All open requests are among the jobs. */
    jobsComplete: z.boolean(),
    placements: z.array(placedTaskSchema).readonly(),
    workers: z.array(handedWorkerSchema).readonly(),
    /** No work of former epochs can run unseen. */
    holdReleased: z.boolean(),
    grants: z.array(handedGrantSchema).readonly(),
    /** Targets whose slots in use are all among the grants. */
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
export type HandedJob = z.infer<typeof handedJobSchema>;

/** Slot in use of a slice that is handed over. */
export type HandedGrant = z.infer<typeof handedGrantSchema>;

/** Worker of a slice that is handed over. */
export type HandedWorker = z.infer<typeof handedWorkerSchema>;

/** Offer of a slice. */
export type HandOverMessage = z.infer<typeof handOverSchema>;
