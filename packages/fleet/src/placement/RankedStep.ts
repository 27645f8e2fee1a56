import type { QueueConfig } from "../model/FleetConfig.js";
import type { StepState } from "../state/StepState.js";

/** What the job of a step is still worth to its caller if the step starts as soon as it can. */
export enum Usefulness {
    InTime = 0,
    Late = 1,
    /** It ends so late that its caller no longer waits for it. */
    None = 2
}

/** Why a step has its place in the order. */
export enum Standing {
    /** By what it costs its caller to let it wait. */
    Due = "due",
    /** Its team uses more than its share of the processors while others wait. */
    BeyondShare = "beyond-share",
    /** Its job is of no use any more. */
    Useless = "useless",
    /** Its job has been useless for so long that it comes first, in a small part of the room. */
    Overdue = "overdue"
}

/** A job that takes this multiple of its objective is of no use any more. */
export const LATE_FACTOR = 3;

/** A step with the queue of its job. */
export interface QueuedStep {
    readonly step: StepState;
    readonly queue: QueueConfig;
}

/** A step with waiting tasks and the values by which it is ordered. */
export interface RankedStep extends QueuedStep {
    /** Time from which the duration of its job counts. */
    readonly fromMs: number;
    /** Time by which the job should be done, from the objective of its queue. */
    readonly dueMs: number;
    /** Expected time from its start, with an answer of the placement policy if it needs one, until its job has ended. */
    readonly remainingMs: number;
    /** Expected work of the waiting tasks of its job in processor-ms. */
    readonly remainingWorkMs: number;
    readonly usefulness: Usefulness;
    readonly standing: Standing;
}

/** Compares steps: useless jobs come last, the others by due time. */
export function compareSteps(left: RankedStep, right: RankedStep): number {
    return Number(left.usefulness === Usefulness.None) - Number(right.usefulness === Usefulness.None)
        || compareByDueTime(left, right);
}

/** Compares steps by their team's rate, the priority of the queue, what is left of their use, and their due time. */
export function compareByDueTime(left: RankedStep, right: RankedStep): number {
    return Number(right.step.job.withinShare) - Number(left.step.job.withinShare)
        || left.queue.priority - right.queue.priority
        || left.usefulness - right.usefulness
        || left.dueMs - right.dueMs;
}

/** Returns the time within which the jobs of a queue should be done, by the length of their critical path. */
export function objectiveMs(queue: QueueConfig, criticalPathMs: number): number {
    return queue.stretchFactor * criticalPathMs + queue.targetLatencyMs;
}

/** Returns the time after which the job of a step is of no use any more. */
export function latestMs({ fromMs, dueMs }: RankedStep): number {
    return fromMs + (dueMs - fromMs) * LATE_FACTOR;
}
