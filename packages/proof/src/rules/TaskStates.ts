import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";

/** Tells whether a task uses its worker in this state. */
export function isRunningState(state: WorkerTaskState): boolean {
    return state === WorkerTaskState.Running || state === WorkerTaskState.Throttled;
}
