import type { GroupState } from "../groups/GroupState.js";
import type { TaskFailures } from "../groups/TaskFailures.js";
import { WorkerCondition } from "../health/WorkerCondition.js";
import type { WorkerHealth } from "../health/WorkerHealth.js";
import type { TaskOptions } from "./TaskOptions.js";

const ATTEMPT_LIMIT_FACTOR = 4;

/** Decides from the failures of a task whether its group is rejected. */
export class FailurePolicy {
    constructor(
        private readonly health: WorkerHealth,
        private readonly workerCount: () => number,
        private readonly options: TaskOptions
    ) {}

    /**
     * Returns the reason to reject the group, or undefined if the task is tried again. While other groups fail across
     * the fleet too, a group is rejected only once a task reaches a multiple of the attempt limit.
     */
    public findRejectionReason(group: GroupState, taskId: string, failures: TaskFailures): string | undefined {
        if (group.isService) {
            return undefined;
        }
        const limitReached = failures.attempts >= this.options.maxAttempts * ATTEMPT_LIMIT_FACTOR;
        if (!limitReached && this.health.isFleetFailing(group)) {
            return undefined;
        }
        return this.explainTaskRejection(taskId, failures, limitReached) ?? this.explainGroupRejection(group);
    }

    private explainTaskRejection(taskId: string, failures: TaskFailures, limitReached: boolean): string | undefined {
        const workerIds = this.findHealthy(failures.workerIds);
        const enoughWorkers = workerIds.length >= Math.min(this.options.maxFailedWorkers, this.workerCount());
        if (!limitReached && (!enoughWorkers || failures.attempts < this.options.maxAttempts)) {
            return undefined;
        }
        return `task ${taskId} failed in ${failures.attempts} attempts on workers ${
            [...failures.workerIds].join(", ")
        }`;
    }

    private explainGroupRejection(group: GroupState): string | undefined {
        const limit = this.options.maxFailedWorkersOfGroup;
        if (group.hasSucceeded || group.failedWorkerCount < limit) {
            return undefined;
        }
        const workerIds = this.findHealthy(group.failedWorkerIds);
        if (workerIds.length < limit) {
            return undefined;
        }
        return `no task of the group succeeded; its tasks failed on ${workerIds.length} distinct workers: `
            + workerIds.join(", ");
    }

    private findHealthy(workerIds: ReadonlySet<string>): readonly string[] {
        return [...workerIds].filter(workerId => this.health.conditionOf(workerId) === WorkerCondition.Healthy);
    }
}
