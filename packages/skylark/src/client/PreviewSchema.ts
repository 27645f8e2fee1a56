import { z } from "zod";

const stepSchema = z.object({
    step: z.number(),
    tasks: z.number(),
    after: z.array(z.number()),
    fitsNow: z.number(),
    waitReason: z.string().optional(),
    stepsAhead: z.number().optional(),
    tasksWithinTeamLimit: z.number(),
    expectedDurationMs: z.number(),
    needsPermits: z.boolean(),
    workers: z.array(z.object({ verdict: z.string(), workers: z.number(), examples: z.array(z.string()) }))
});

/** Reply of the owner: what would become of a job now. */
export const previewReplySchema = z.object({
    queue: z.string(),
    team: z.string(),
    priority: z.number(),
    objectiveMs: z.number(),
    expectedDurationMs: z.number(),
    waitingSteps: z.number(),
    steps: z.array(stepSchema)
});

/** Reply of the owner, as checked. */
export type PreviewReply = z.infer<typeof previewReplySchema>;
