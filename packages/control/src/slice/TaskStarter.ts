import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { WorkerRefusal, type WorkerTask } from "@skylarkpath/common/platform/WorkerService";
import { TaskEnd, type TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { Job } from "./Job.js";
import type { JobController } from "./JobController.js";
import type { Placements } from "./Placements.js";
import { isServiceGroup, type ServiceController } from "./ServiceController.js";
import type { StartRecorder } from "./StartRecorder.js";
import type { TaskReportHandler } from "./TaskReportHandler.js";
import type { WorkerPool } from "./WorkerPool.js";
import type { RefusedStart, WorkerSession } from "./WorkerSession.js";
import { composeWorkerTask } from "./WorkerTaskComposer.js";

/**
 * Executes the start decisions of the scheduler. Tasks that must not run twice are sent only after their job's start
 * record is committed.
 */
export class TaskStarter {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly scheduler: TaskScheduler,
        private readonly pool: WorkerPool,
        private readonly placements: Placements,
        private readonly jobs: JobController,
        private readonly services: ServiceController,
        private readonly reports: TaskReportHandler,
        private readonly startRecorder: StartRecorder,
        private readonly mayCommand: () => boolean
    ) {}

    /** Starts a task on a worker. */
    public start(taskId: string, groupId: string, workerId: string): void {
        const session = this.pool.find(workerId);
        const task = composeWorkerTask(taskId, groupId, this.services, this.jobs);
        if (!session || !task) {
            this.scheduler.taskEnded(taskId, TaskEnd.Requeued, this.environment.timer.nowMs());
            return;
        }
        this.placements.put({ taskId, workerId, groupId });
        this.reports.markStarted(taskId, workerId);
        if (isServiceGroup(groupId)) {
            this.services.markStarted(taskId, groupId);
        }
        const job = this.jobs.find(groupId);
        if (job && !this.startRecorder.isReady(job)) {
            void this.startRecorded(job, session, task);
            return;
        }
        this.send(session, task);
    }

    /** Requeues a task whose start did not take effect, unless the worker already has the task. */
    public handleRefusedStart(refused: RefusedStart): void {
        if (refused.refusal !== WorkerRefusal.DuplicateTask) {
            this.reports.endTask(refused.taskId, TaskEnd.Requeued, false);
        }
    }

    private async startRecorded(job: Job, session: WorkerSession, task: WorkerTask): Promise<void> {
        const isRecorded = await this.startRecorder.record(job);
        const isPlaced = this.placements.find(task.taskId)?.workerId === session.workerId;
        const isCurrent = this.pool.find(session.workerId) === session;
        if (isRecorded && isPlaced && isCurrent && job.mayStartTasks && this.mayCommand()) {
            this.send(session, task);
        }
        else if (isPlaced) {
            this.reports.endTask(task.taskId, TaskEnd.Requeued, false);
        }
    }

    private send(session: WorkerSession, task: WorkerTask): void {
        const { taskId, requestId } = task;
        this.jobs.markTaskStarted(taskId, requestId);
        this.environment.log.write(EVENTS.taskStarted, { requestId, taskId, worker: session.workerId });
        session.start(task);
    }
}
