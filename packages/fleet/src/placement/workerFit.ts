import { countFits, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";

const NOTHING = createResourceSum();

/** Returns whether a worker has the label that a step requires, if it requires one. */
export function hasRequiredLabel(worker: WorkerState, { spec: { workerLabel } }: StepState): boolean {
    return workerLabel === undefined || worker.entry.labels.includes(workerLabel);
}

/** Returns how many tasks of a step a worker could run if nothing else ran there. */
export function countCapacityFits(worker: WorkerState, step: StepState): number {
    const { size, filler, maximumPerWorker } = step.spec;
    if (!hasRequiredLabel(worker, step)) {
        return 0;
    }
    const fitCount = countFits(worker.entry.capacity, NOTHING, size, !filler);
    return maximumPerWorker > 0 ? Math.min(fitCount, maximumPerWorker) : fitCount;
}

/** Returns how many tasks of a step run on a worker; they are counted only if the step limits them. */
export function countRunning(worker: WorkerState, step: StepState): number {
    if (step.spec.maximumPerWorker === 0) {
        return 0;
    }
    let count = 0;
    for (const run of worker.runs.values()) {
        count += run.task.step === step ? 1 : 0;
    }
    return count;
}

/** Returns how many tasks of a step fit on a worker beside what is in use there. */
export function countFreeFits(worker: WorkerState, step: StepState, used: ResourceSum = worker.used): number {
    const { size, filler, maximumPerWorker } = step.spec;
    const fitCount = countFits(worker.entry.capacity, used, size, !filler);
    if (fitCount === 0 || !hasRequiredLabel(worker, step)) {
        return 0;
    }
    return maximumPerWorker > 0
        ? Math.max(0, Math.min(fitCount, maximumPerWorker - countRunning(worker, step)))
        : fitCount;
}
