import type { QueueConfig } from "../model/FleetConfig.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";

/** What the job of a step is still worth to its caller if the step starts as soon as it can. */
export enum Usefulness {
    InTime = 0,
    Late = 1,
    /** It ends so late that its caller no longer waits for it. */
    None = 2
}

/** A job that takes this multiple of its objective is of no use any more. */
const LATE_FACTOR = 3;

/** A step with waiting tasks and the values by which it is ordered. */
export interface RankedStep {
    readonly step: StepState;
    readonly queue: QueueConfig;
    /** Time by which the job should be done, from the objective of its queue. */
    readonly dueMs: number;
    /** By the likely duration of the step, and the time until the placement policy has answered. */
    readonly usefulness: Usefulness;
}

/**
 * Returns the steps with tasks to start, in the order in which they are placed: jobs within their team's share first,
 * then by priority of the queue, then by what is left of their use, then by due time.
 */
export function orderSteps(fleet: FleetState, nowMs: number): RankedStep[] {
    const ranked: RankedStep[] = [];
    for (const job of fleet.jobs.values()) {
        if (job.final || job.cancelRequested) {
            continue;
        }
        const queue = fleet.queue(job.spec.queue);
        if (queue) {
            rankJob(job, queue, nowMs, fleet, ranked);
        }
    }
    return ranked.sort(compareSteps);
}

function rankJob(
    job: JobState,
    queue: QueueConfig,
    nowMs: number,
    fleet: FleetState,
    ranked: RankedStep[]
): void {
    let objectiveMs: number | undefined;
    for (const step of job.readySteps()) {
        const isStartable = !step.spec.gang || step.waitingCount === step.tasks.length;
        if (step.waitingCount === 0 || !isStartable) {
            continue;
        }
        step.readyAtMs ??= nowMs;
        objectiveMs ??= queue.stretchFactor * fleet.expectedPathMs(job) + queue.targetLatencyMs;
        const { policyDelayMs, clockOffsetMs } = fleet;
        const needsPermits = queue.policy !== undefined && step.permits.latestExpiryMs <= nowMs;
        const endMs = nowMs + fleet.likelyDurationMs(step) + (needsPermits ? policyDelayMs : 0);
        const fromMs = job.countsFromMs(step.occurrence, clockOffsetMs);
        ranked.push({
            step,
            queue,
            dueMs: fromMs + objectiveMs,
            usefulness: usefulnessOf(endMs - fromMs, objectiveMs)
        });
    }
}

function compareSteps(left: RankedStep, right: RankedStep): number {
    return Number(right.step.job.withinShare) - Number(left.step.job.withinShare)
        || left.queue.priority - right.queue.priority
        || left.usefulness - right.usefulness
        || left.dueMs - right.dueMs;
}

function usefulnessOf(durationMs: number, objectiveMs: number): Usefulness {
    if (durationMs <= objectiveMs) {
        return Usefulness.InTime;
    }
    return durationMs <= objectiveMs * LATE_FACTOR ? Usefulness.Late : Usefulness.None;
}
