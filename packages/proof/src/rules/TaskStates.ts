import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";

/** Returns whether a task in this state uses resources of its worker. */
export function isRunningState(state: WorkerTaskState): boolean {
    return state === WorkerTaskState.Running || state === WorkerTaskState.Throttled;
}
