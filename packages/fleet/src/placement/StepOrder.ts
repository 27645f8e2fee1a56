import type { QueueConfig } from "../model/FleetConfig.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import { measureRemaining } from "./DelayCost.js";
import {
    compareByDueTime,
    compareSteps,
    LATE_FACTOR,
    objectiveMs,
    type RankedStep,
    Standing,
    Usefulness
} from "./RankedStep.js";
import { orderForScarceRoom } from "./ScarceRoomOrder.js";

export { type RankedStep, Usefulness } from "./RankedStep.js";

/**
 * Returns the steps with tasks to start, in the order in which they are placed: jobs within their team's share first,
 * then by priority of the queue, then by what is left of their use, then by due time. With `ordersByDelayCost`, jobs that
 * are of no use any more come last, and what costs callers least waits when a pool has too little room; see
 * `orderForScarceRoom`.
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
    if (!fleet.ordersByDelayCost) {
        return ranked.sort(compareByDueTime);
    }
    ranked.sort(compareSteps);
    return orderForScarceRoom(fleet, nowMs, ranked) ?? ranked;
}

function rankJob(
    job: JobState,
    queue: QueueConfig,
    nowMs: number,
    fleet: FleetState,
    ranked: RankedStep[]
): void {
    let goalMs: number | undefined;
    for (const step of job.readySteps()) {
        const isStartable = !step.spec.gang || step.waitingCount === step.tasks.length;
        if (step.waitingCount === 0 || !isStartable) {
            continue;
        }
        step.readyAtMs ??= nowMs;
        goalMs ??= objectiveMs(queue, fleet.expectedPathMs(job));
        const { policyDelayMs, clockOffsetMs } = fleet;
        const needsPermits = queue.policy !== undefined && step.permits.latestExpiryMs <= nowMs;
        const remaining = fleet.ordersByDelayCost
            ? measureRemaining(job.occurrences.get(step.occurrence) ?? [], fleet.expectedDurationMs)
            : undefined;
        const remainingMs = fleet.likelyDurationMs(step) + (remaining?.pathAfterMs[step.number] ?? 0)
            + (needsPermits ? policyDelayMs : 0);
        const fromMs = job.countsFromMs(step.occurrence, clockOffsetMs);
        // Each second without a lasting task costs the same, however long ago its job was accepted.
        const usefulness = remaining && step.spec.lasting
            ? Usefulness.InTime
            : usefulnessOf(nowMs + remainingMs - fromMs, goalMs);
        if (remaining && usefulness === Usefulness.None && !job.repeats) {
            fleet.jobSizes.recordOutcome(job, false);
        }
        ranked.push({
            step,
            queue,
            fromMs,
            dueMs: fromMs + goalMs,
            remainingMs,
            remainingWorkMs: remaining?.workMs ?? 0,
            usefulness,
            standing: remaining && usefulness === Usefulness.None ? Standing.Useless : Standing.Due
        });
    }
}

function usefulnessOf(durationMs: number, goalMs: number): Usefulness {
    if (durationMs <= goalMs) {
        return Usefulness.InTime;
    }
    return durationMs <= goalMs * LATE_FACTOR ? Usefulness.Late : Usefulness.None;
}
