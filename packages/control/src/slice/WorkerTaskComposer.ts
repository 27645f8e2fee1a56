import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";
import type { JobController } from "./JobController.js";
import { isServiceGroup, type ServiceController } from "./ServiceController.js";

/**
 * Composes the task that is sent to a worker; undefined when its job is no longer open or its service revision is no
 * longer the current one.
 */
export function composeWorkerTask(
    taskId: string,
    groupId: string,
    services: ServiceController,
    jobs: JobController
): WorkerTask | undefined {
    return isServiceGroup(groupId)
        ? composeReplica(taskId, groupId, services)
        : composeJobTask(taskId, groupId, jobs);
}

function composeReplica(taskId: string, groupId: string, services: ServiceController): WorkerTask | undefined {
    const service = services.definitionOf(groupId);
    return service && {
        taskId,
        requestId: groupId,
        team: service.team,
        resources: service.resources,
        payload: service.command,
        service: true
    };
}

function composeJobTask(taskId: string, groupId: string, jobs: JobController): WorkerTask | undefined {
    const job = jobs.find(groupId);
    return job && {
        taskId,
        requestId: groupId,
        team: job.stored.record.spec.team,
        resources: job.sizing.resources,
        payload: job.payload,
        service: false,
        checkpoint: job.checkpointOf(taskId)
    };
}
