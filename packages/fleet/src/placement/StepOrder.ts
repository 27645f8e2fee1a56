import type { QueueConfig } from "../model/FleetConfig.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";

/** A step with waiting tasks and the values by which it is ordered. */
export interface RankedStep {
    readonly step: StepState;
    readonly queue: QueueConfig;
    /** Time by which the job should be done, from the objective of its queue. */
    readonly dueMs: number;
    /** The step can still finish by that time, by its estimated duration. */
    readonly inTime: boolean;
}

/**
 * Returns the steps with tasks to start, in the order in which they are placed: jobs within their team's share first,
 * then by priority of the queue, then steps that can still finish in time, then by due time.
 */
export function orderSteps(fleet: FleetState, nowMs: number): RankedStep[] {
    const ranked: RankedStep[] = [];
    for (const job of fleet.jobs.values()) {
        if (job.final || job.cancelRequested) {
            continue;
        }
        const queue = fleet.queue(job.spec.queue);
        if (queue) {
            rankJob(job, queue, nowMs, ranked);
        }
    }
    return ranked.sort(compareSteps);
}

function rankJob(job: JobState, queue: QueueConfig, nowMs: number, ranked: RankedStep[]): void {
    for (const step of job.readySteps()) {
        const isStartable = !step.spec.gang || step.waitingCount === step.tasks.length;
        if (step.waitingCount === 0 || !isStartable) {
            continue;
        }
        step.readyAtMs ??= nowMs;
        const dueMs = job.acceptedAtMs + queue.stretchFactor * job.criticalPathMs + queue.targetLatencyMs;
        ranked.push({ step, queue, dueMs, inTime: nowMs + step.spec.estimateMs <= dueMs });
    }
}

function compareSteps(left: RankedStep, right: RankedStep): number {
    return Number(right.step.job.withinShare) - Number(left.step.job.withinShare)
        || left.queue.priority - right.queue.priority
        || Number(right.inTime) - Number(left.inTime)
        || left.dueMs - right.dueMs;
}
