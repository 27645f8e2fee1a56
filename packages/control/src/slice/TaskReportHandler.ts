import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { WorkerCommandKind, type WorkerTaskReport, WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { TaskEnd, type TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import { Adoption } from "./Adoption.js";
import type { JobController } from "./JobController.js";
import type { Placements } from "./Placements.js";
import { isServiceGroup, type ServiceController } from "./ServiceController.js";
import type { WorkerPoolReply } from "./WorkerPool.js";
import type { WorkerSession } from "./WorkerSession.js";

/** Handles the task reports of workers: adopts running tasks and commits the answers of ended ones. */
export class TaskReportHandler implements Disposable {
    private readonly store = new DisposableStore();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    /** Ids of ended tasks by worker whose report is being handled or not yet acknowledged to the worker. */
    private readonly handledReports = new Map<string, Set<string>>();

    /** Fires when capacity has become free in the scheduler. */
    public readonly onChange = this.changeEmitter.event;

    constructor(
        private readonly environment: Pick<ProcessEnvironment, "log" | "timer">,
        private readonly scheduler: TaskScheduler,
        private readonly placements: Placements,
        private readonly jobs: JobController,
        private readonly services: ServiceController
    ) {}

    /**
     * Records that a task is sent to a worker, so that the report of its end is handled even if an earlier run ended
     * there.
     */
    public markStarted(taskId: string, workerId: string): void {
        this.handledReports.get(workerId)?.delete(taskId);
    }

    public dispose(): void {
        this.store.dispose();
    }

    /** Handles the reply of a worker. */
    public handleReply(poolReply: WorkerPoolReply): void {
        const { session, reply } = poolReply;
        const handled = this.handledReports.get(session.workerId) ?? new Set<string>();
        const stillHandled = new Set<string>();
        this.handledReports.set(session.workerId, stillHandled);
        for (const report of reply.reports) {
            const { taskId, requestId } = report.task;
            if (report.checkpoint !== undefined) {
                this.jobs.find(requestId)?.setCheckpoint(taskId, report.checkpoint);
            }
            if (isRunningState(report.state)) {
                this.handleRunning(session, report);
            }
            else if (handled.has(taskId)) {
                stillHandled.add(taskId);
            }
            else {
                stillHandled.add(taskId);
                void this.handleEnded(session, report);
            }
        }
    }

    private handleRunning(session: WorkerSession, report: WorkerTaskReport): void {
        const { taskId, requestId } = report.task;
        const placement = this.placements.find(taskId);
        if (placement?.workerId === session.workerId) {
            session.track(taskId);
            this.stopIfRequestEnded(session, taskId, requestId);
            this.services.markReported(taskId, requestId);
            return;
        }
        const adoption = placement ? Adoption.Stop : this.adopt(report, session.workerId);
        if (adoption === Adoption.Stop) {
            session.send({ kind: WorkerCommandKind.Stop, taskId });
            return;
        }
        session.track(taskId);
        if (adoption === Adoption.Adopted || !isServiceGroup(requestId)) {
            this.placements.put({ taskId, workerId: session.workerId, groupId: requestId });
            this.services.markReported(taskId, requestId);
        }
    }

    /**
     * Stops a task that kept running while its request was read from the store, when the request turns out to have
     * ended.
     */
    private stopIfRequestEnded(session: WorkerSession, taskId: string, requestId: string): void {
        const isUnknown = !isServiceGroup(requestId) && this.jobs.find(requestId) === undefined;
        if (isUnknown && this.jobs.adopt(taskId, requestId, session.workerId) === Adoption.Stop) {
            session.send({ kind: WorkerCommandKind.Stop, taskId });
        }
    }

    private adopt(report: WorkerTaskReport, workerId: string): Adoption {
        const { taskId, requestId, resources } = report.task;
        return isServiceGroup(requestId)
            ? this.services.adopt({ taskId, groupId: requestId, workerId, resources }, this.environment.timer.nowMs())
            : this.jobs.adopt(taskId, requestId, workerId);
    }

    private async handleEnded(session: WorkerSession, report: WorkerTaskReport): Promise<void> {
        const { taskId, requestId } = report.task;
        const placement = this.placements.find(taskId);
        const isPlacedHere = placement === undefined || placement.workerId === session.workerId;
        if (isPlacedHere && !(await this.commitEnd(report))) {
            this.handledReports.get(session.workerId)?.delete(taskId);
            return;
        }
        session.release(taskId);
        session.send({ kind: WorkerCommandKind.Acknowledge, taskIds: [taskId] });
        this.environment.log.write(EVENTS.taskEnded, { requestId, taskId, state: report.state });
    }

    /**
     * Records the end of a task and commits its answer, if any; resolves with true once the worker may discard the
     * task.
     */
    private async commitEnd(report: WorkerTaskReport): Promise<boolean> {
        const { taskId, requestId } = report.task;
        if (report.state === WorkerTaskState.Succeeded && !isServiceGroup(requestId)) {
            const committed = await this.jobs.taskSucceeded(taskId, requestId, report.answer ?? "");
            if (committed) {
                this.placements.remove(taskId);
            }
            return committed;
        }
        this.endTask(taskId, report.state === WorkerTaskState.Failed ? TaskEnd.Failed : TaskEnd.Requeued, true);
        return true;
    }

    /** Records that a task is no longer running and has left no answer. */
    public endTask(taskId: string, end: TaskEnd, mayHaveRun: boolean): void {
        const placement = this.placements.remove(taskId);
        if (!placement) {
            return;
        }
        if (isServiceGroup(placement.groupId)) {
            this.services.markEnded(taskId, placement.groupId);
            const serviceEnd = this.services.isDesired(taskId, placement.groupId) ? end : TaskEnd.Cancelled;
            this.scheduler.taskEnded(taskId, serviceEnd, this.environment.timer.nowMs());
            this.changeEmitter.fire();
        }
        else {
            this.jobs.taskEnded(taskId, placement.groupId, end, mayHaveRun);
        }
    }
}

function isRunningState(state: WorkerTaskState): boolean {
    return state === WorkerTaskState.Running || state === WorkerTaskState.Throttled;
}
