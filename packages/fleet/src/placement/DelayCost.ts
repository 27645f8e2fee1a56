import type { JobSpec, ResourceAmounts, StepSpec } from "../model/JobSpec.js";
import type { StepState } from "../state/StepState.js";
import { chargedResources } from "../state/WorkerState.js";

/** Value of a job in time, as multiples of that of a mean job of its queue: a fixed part, and one by its work. */
const FIXED_VALUE = 0.3;
const VALUE_OF_MEAN_WORK = 0.7;
/** Value of a late job, as a part of the value of the same job in time. */
const LATE_VALUE = 0.2;
/** An accelerator counts as this many processors when work is measured. */
const PROCESSORS_PER_ACCELERATOR = 8;

/** What the cost of letting a job wait depends on. */
export interface DelayedJob {
    /** Work of the whole job in processor-ms. */
    readonly workMs: number;
    /** Mean work of the jobs of its queue in processor-ms. */
    readonly meanWorkMs: number;
    /** Work that has not started in processor-ms. */
    readonly remainingWorkMs: number;
    /** It can't be in time any more. */
    readonly isLate: boolean;
    /** Time in ms for which it can wait without a loss to its caller. */
    readonly slackMs: number;
    /** Time in ms for which jobs like it wait in the mean. */
    readonly meanWaitMs: number;
}

/** What is left of one occurrence of a job. */
export interface RemainingJob {
    /** Work of the tasks that have not started, in processor-ms. */
    readonly workMs: number;
    /** Duration of the longest chain of steps that follows a step, in ms, by number of the step. */
    readonly pathAfterMs: readonly number[];
}

/** Returns the processors in an amount of resources, with its accelerators. */
export function countProcessors({ cpuMilli, accelerators }: ResourceAmounts): number {
    return cpuMilli / 1000 + accelerators * PROCESSORS_PER_ACCELERATOR;
}

/** Returns the processors that one task takes from others while it runs. */
export function taskProcessors(step: StepSpec): number {
    return countProcessors(chargedResources(step));
}

/** Returns the work of one run of all steps in processor-ms, by the estimates of the job's caller. */
export function estimatedWorkMs({ steps }: JobSpec): number {
    return steps.reduce((sum, step) => sum + step.taskCount * step.estimateMs * taskProcessors(step), 0);
}

/** Returns what a job in time is worth to its caller, as a multiple of a mean job of its queue. */
export function valueOfJob(workMs: number, meanWorkMs: number): number {
    return FIXED_VALUE + VALUE_OF_MEAN_WORK * (meanWorkMs > 0 ? workMs / meanWorkMs : 1);
}

/**
 * Returns what a caller loses if its job waits now, for each processor-ms that it still takes (apparent tardiness cost):
 * its value for its work, in full once the job has no slack left, and less the more slack it has compared with the mean
 * wait.
 */
export function costOfDelay({ workMs, meanWorkMs, remainingWorkMs, isLate, slackMs, meanWaitMs }: DelayedJob): number {
    const value = valueOfJob(workMs, meanWorkMs) * (isLate ? LATE_VALUE : 1);
    const urgency = Math.exp(-Math.max(0, slackMs) / Math.max(1, meanWaitMs));
    return value / Math.max(1, remainingWorkMs) * urgency;
}

/** Returns what is left of the steps of an occurrence; lasting steps have no end and count for nothing. */
export function measureRemaining(
    steps: readonly StepState[],
    expectedDurationMs: (step: StepState) => number
): RemainingJob {
    const pathAfterMs = steps.map(() => 0);
    let workMs = 0;
    for (let number = steps.length - 1; number >= 0; number--) {
        const step = steps[number]!;
        const durationMs = step.done || step.spec.lasting ? 0 : expectedDurationMs(step);
        workMs += step.waitingCount * durationMs * taskProcessors(step.spec);
        const pathMs = pathAfterMs[number]! + durationMs;
        for (const previous of step.spec.after) {
            pathAfterMs[previous] = Math.max(pathAfterMs[previous] ?? 0, pathMs);
        }
    }
    return { workMs, pathAfterMs };
}
