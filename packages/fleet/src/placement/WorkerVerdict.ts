import type { WorkerState } from "../state/WorkerState.js";
import type { QueuedStep } from "./RankedStep.js";
import { hasRequiredLabel } from "./workerFit.js";

/** Whether a worker could take a task of a step now, or why not. */
export enum WorkerVerdict {
    HasRoom = "has-room",
    OtherPool = "other-pool",
    /** The step requires a label that the worker does not have. */
    NoLabel = "no-label",
    /** Its failure domain is evacuated. */
    Evacuated = "evacuated",
    /** Nothing new is started on it: it drains, is not reached, is paused after a refusal or is not known well enough. */
    TakesNone = "takes-none",
    NoCapacity = "no-room",
    Reserved = "reserved"
}

/** Returns whether a worker could take a task of a step now; permits of a policy are not considered. */
export function judgeWorker(
    { step, queue }: QueuedStep,
    worker: WorkerState,
    nowMs: number,
    isReserved: boolean
): WorkerVerdict {
    const { spec } = step;
    if (worker.entry.pool !== queue.pool) {
        return WorkerVerdict.OtherPool;
    }
    if (!hasRequiredLabel(worker, step)) {
        return WorkerVerdict.NoLabel;
    }
    if (worker.evacuated) {
        return WorkerVerdict.Evacuated;
    }
    if (!worker.canStart(nowMs)) {
        return WorkerVerdict.TakesNone;
    }
    if (worker.countFits(spec.size, spec.filler) < 1) {
        return WorkerVerdict.NoCapacity;
    }
    return isReserved ? WorkerVerdict.Reserved : WorkerVerdict.HasRoom;
}
