import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { NO_FAILURES } from "../model/JobProgress.js";
import { JobPhase } from "../model/JobSpec.js";
import { type ReportedEnd, type ReportedRun, RunEnd, type WorkerReport } from "../ports/WorkerClient.js";
import { RunObserver } from "../prediction/RunObserver.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import { FULL_SPEED_PERCENT, RunPhase, type RunState } from "../state/RunState.js";
import { parseTaskName } from "../state/TaskName.js";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { UnknownJobReports } from "./UnknownJobReports.js";
import { WorkerHealth } from "./WorkerHealth.js";
import type { PollContext } from "./WorkerSession.js";

/** Request to stop a run on a worker. */
export interface StopRequest {
    readonly worker: WorkerState;
    readonly task: string;
    readonly run: number;
}

/** A task without progress for this long may have stalled: a little more than the time of two polls. */
const STALL_TIMEOUT_MS = 2500;
/** Part of the latest run time that a task takes at most for the smallest progress that workers report, with a margin. */
const STALL_SHARE = 0.025;
/** A lasting task that has run for this long did not crash its worker. */
const SETTLED_AFTER_MS = 30_000;
/** A stop order is repeated after this time until the worker has carried it out. */
const STOP_RETRY_MS = 700;

/** Reconciles the runs of tasks with the reports of workers, and updates jobs when their runs end. */
export class RunTracker {
    private readonly jobChanged = new Emitter<JobState>();
    private readonly stopRequested = new Emitter<StopRequest>();
    private readonly capacityFreed = new Emitter<void>();
    private readonly unknownJob = new Emitter<string>();
    private readonly health: WorkerHealth;
    private readonly unknownJobs: UnknownJobReports;
    private readonly observer = new RunObserver();

    /** The progress or the state of a job has changed and must be committed. */
    public readonly onJobChanged = this.jobChanged.event;
    /** A run must be stopped. */
    public readonly onStopRequested = this.stopRequested.event;
    /** Tasks may have become ready to start, or capacity may have become free. */
    public readonly onCapacityFreed = this.capacityFreed.event;
    /** A worker reports a job that is not known; the intake must be read for it from now on. */
    public readonly onUnknownJob = this.unknownJob.event;
    /** A step is done of which runs were seen in full. */
    public readonly onStepObserved = this.observer.onStepObserved;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService) {
        this.health = new WorkerHealth(timer);
        this.unknownJobs = new UnknownJobReports(timer);
    }

    /** Applies the report of a worker; ended runs up to number `afterEnd` were applied before. */
    public applyReport(worker: WorkerState, report: WorkerReport, poll: PollContext, afterEnd: number): void {
        const listedTasks = new Set<string>();
        for (const end of report.ended) {
            if (end.number > afterEnd) {
                worker.uncommittedEnds.set(end.number, end.task);
                this.applyEnd(worker, end, poll.sentAtMs);
            }
        }
        this.observer.recordReport(worker, this.timer.nowMs());
        worker.hasUncountedRuns = false;
        worker.hasUnlistedEnds = report.hasMoreEnds;
        worker.heldRuns.clear();
        for (const run of report.running) {
            listedTasks.add(run.task);
            this.applyRunning(worker, run);
        }
        // A run that is missing from a report with room for more ends was never started, or is known to have ended.
        for (const run of report.hasMoreEnds ? [] : [...worker.runs.values()]) {
            if (!listedTasks.has(run.task.name)) {
                this.applyMissing(run, poll);
            }
        }
        this.capacityFreed.fire();
    }

    /** Applies what workers have reported of a job that has become known now. */
    public applyHeldReports(jobId: string): void {
        const workers = this.unknownJobs.take(jobId).filter(worker => this.fleet.workers.get(worker.id) === worker);
        for (const worker of workers) {
            for (const [number, end] of [...worker.heldEnds]) {
                if (parseTaskName(end.task)?.jobId === jobId) {
                    worker.heldEnds.delete(number);
                    this.applyEnd(worker, end);
                }
            }
        }
        for (const worker of workers) {
            for (const [name, run] of [...worker.heldRuns]) {
                if (parseTaskName(name)?.jobId === jobId) {
                    worker.heldRuns.delete(name);
                    this.applyRunning(worker, run);
                }
            }
        }
    }

    /** Stops the reported runs of a job, and drops its ends, since the intake no longer holds it. */
    public recordAbsentJob(jobId: string): void {
        this.unknownJobs.recordAbsent(jobId);
        this.applyHeldReports(jobId);
    }

    /** Closes all runs of a lost worker. */
    public closeAllRuns(worker: WorkerState): void {
        worker.heldRuns.clear();
        worker.heldEnds.clear();
        this.closeRuns([...worker.runs.values()]);
    }

    /** Closes the runs of a lost worker that it has reported, so that they are on no later incarnation of it. */
    public closeReportedRuns(worker: WorkerState): void {
        this.closeRuns([...worker.runs.values()].filter(run => run.reported));
    }

    /** Fails the jobs that have used up their attempts under the current configuration. */
    public failExhausted(): void {
        for (const job of [...this.fleet.jobs.values()]) {
            const maxAttempts = this.maxAttempts(job);
            const isExhausted = [...job.openSteps()].some(step =>
                !step.spec.lasting && !step.done
                && (step.gangFailures.length >= maxAttempts
                    || step.tasks.some(task => task.failures.length >= maxAttempts))
            );
            if (isExhausted) {
                this.finishJob(job, JobPhase.Failed);
            }
        }
    }

    /** Stops the gangs of which only some members run; called once the runs on all workers are known. */
    public stopPartialGangs(): void {
        for (const job of this.fleet.jobs.values()) {
            for (const step of job.openSteps()) {
                const isPartial = step.spec.gang && !step.done && step.waitingCount > 0
                    && step.tasks.some(task => task.run);
                for (const task of isPartial ? step.tasks : []) {
                    this.stopRun(task.run);
                }
            }
        }
    }

    /** Closes a run whose start order was refused. */
    public closeRefusedRun(run: RunState): void {
        this.fleet.closeRun(run);
        this.stopGang(run);
        this.capacityFreed.fire();
    }

    /** Sets the final state of a job and stops its runs. */
    public finishJob(job: JobState, phase: JobPhase): void {
        if (job.final) {
            return;
        }
        job.phase = phase;
        for (const step of job.openSteps()) {
            for (const task of step.tasks) {
                this.stopRun(task.run);
            }
        }
        this.jobChanged.fire(job);
        this.capacityFreed.fire();
    }

    /**
     * Orders a run to stop, unless the last order is too recent to be repeated. A run whose start is not confirmed yet
     * is stopped once it is.
     */
    public stopRun(run: RunState | undefined): void {
        if (!run || (run.stopSentAtMs !== undefined && this.timer.nowMs() < run.stopSentAtMs + STOP_RETRY_MS)) {
            return;
        }
        run.stopRequested = true;
        if (run.phase !== RunPhase.Starting && run.phase !== RunPhase.Uncertain) {
            run.phase = RunPhase.Stopping;
            run.stopSentAtMs = this.timer.nowMs();
            this.stopRequested.fire({ worker: run.worker, task: run.task.name, run: run.run });
        }
    }

    private closeRuns(runs: readonly RunState[]): void {
        for (const run of runs) {
            this.fleet.closeRun(run);
            this.stopGang(run);
        }
        this.capacityFreed.fire();
    }

    private applyRunning(worker: WorkerState, listed: ReportedRun): void {
        if (this.awaitsIntake(worker, listed.task)) {
            worker.hasUncountedRuns = true;
            worker.heldRuns.set(listed.task, listed);
            return;
        }
        const run = worker.runs.get(listed.task) ?? this.adopt(worker, listed);
        if (!run || run.run !== listed.run) {
            worker.hasUncountedRuns = true;
            this.stopRequested.fire({ worker, task: listed.task, run: listed.run });
            return;
        }
        const nowMs = this.timer.nowMs();
        run.reported = true;
        run.startedLater = false;
        run.confirmedAtMs ??= nowMs;
        if (run.phase === RunPhase.Starting || run.phase === RunPhase.Uncertain) {
            run.startSeen &&= run.phase === RunPhase.Starting;
            run.phase = RunPhase.Running;
            run.progressedAtMs = nowMs;
        }
        if (listed.checkpoint !== "") {
            run.task.checkpoint = listed.checkpoint;
        }
        run.load = listed.load;
        if (listed.percent !== run.percent || run.speedLimitPercent < FULL_SPEED_PERCENT) {
            run.percent = listed.percent;
            run.progressedAtMs = nowMs;
        }
        if ((run.suspect || run.task.crashedRuns.length > 0) && this.isSettled(run)) {
            worker.clearSuspicion(run);
            run.task.crashedRuns = NO_FAILURES;
            this.jobChanged.fire(run.task.step.job);
        }
        if (run.stopRequested || run.task.done || run.task.step.job.final) {
            this.stopRun(run);
        }
        else if (!run.task.step.spec.lasting && listed.percent < 100 && this.hasStalled(run)) {
            this.health.recordStall(worker, run.task);
            run.task.avoidedWorkers.add(worker.id);
            this.stopRun(run);
        }
    }

    /** Whether a lasting task has run for so long that it did not crash its worker. */
    public isSettled({ task, confirmedAtMs }: RunState): boolean {
        return task.step.spec.lasting && confirmedAtMs !== undefined
            && this.timer.nowMs() - confirmedAtMs > SETTLED_AFTER_MS;
    }

    private hasStalled({ task, progressedAtMs }: RunState): boolean {
        const timeoutMs = Math.max(STALL_TIMEOUT_MS, this.fleet.latestDurationMs(task.step) * STALL_SHARE);
        return this.timer.nowMs() - progressedAtMs > timeoutMs;
    }

    /** Adopts a run that a previous owner started; returns undefined when it must not run. */
    private adopt(worker: WorkerState, listed: ReportedRun): RunState | undefined {
        const task = this.fleet.findTask(listed.task);
        if (!task || task.done || task.run || task.step.job.final) {
            return undefined;
        }
        const members = task.step.spec.gang ? task.step.tasks : [];
        if (members.some(member => member.run && member.run.run !== listed.run)) {
            return undefined;
        }
        this.markStarted(task.step.job);
        return this.fleet.openRun(task, worker, listed.run, RunPhase.Running, this.timer.nowMs());
    }

    /**
     * Closes a run that a report does not list, although it lists all ends, if the poll was sent after the start was
     * confirmed, or if its token voids the start order.
     */
    private applyMissing(run: RunState, poll: PollContext): void {
        const isGone = run.confirmedAtMs !== undefined && poll.sentAtMs > run.confirmedAtMs;
        const isVoided = run.phase === RunPhase.Uncertain && poll.token >= run.resolvingToken;
        if (isGone || isVoided) {
            this.fleet.closeRun(run);
            this.stopGang(run);
        }
    }

    private applyEnd(worker: WorkerState, listed: ReportedEnd, pollSentAtMs?: number): void {
        if (this.awaitsIntake(worker, listed.task)) {
            worker.heldEnds.set(listed.number, listed);
            return;
        }
        const run = worker.runs.get(listed.task);
        const matching = run?.run === listed.run ? run : undefined;
        const task = matching?.task ?? this.fleet.findTask(listed.task);
        if (matching) {
            if (listed.end === RunEnd.Done && pollSentAtMs !== undefined) {
                this.observer.recordDone(matching, pollSentAtMs, this.timer.nowMs());
            }
            this.fleet.closeRun(matching);
        }
        if (!task) {
            return;
        }
        const { step } = task;
        const { job } = step;
        task.lastRun = Math.max(task.lastRun, listed.run);
        if (listed.checkpoint !== "" && !task.done) {
            task.checkpoint = listed.checkpoint;
        }
        if (job.final || task.done) {
            return;
        }
        this.markStarted(job);
        if (step.spec.lasting) {
            // A lasting task is restarted however it ended, so only the start of its job is recorded.
            return;
        }
        if (listed.end === RunEnd.Done) {
            this.health.recordSuccess(worker);
            step.markDone(task);
            if (step.done) {
                this.observer.recordStepDone(step);
            }
            this.completeIfDone(job);
        }
        else if (listed.end === RunEnd.Failed) {
            this.recordFailure(worker, task, listed.run);
        }
        else if (matching) {
            this.stopGang(matching);
        }
        this.jobChanged.fire(job);
    }

    private recordFailure(worker: WorkerState, task: TaskState, run: number): void {
        const { step } = task;
        const failures = step.markFailed(task, run);
        task.avoidedWorkers.add(worker.id);
        this.health.recordFailure(worker, task);
        if (!step.spec.lasting && failures >= this.maxAttempts(step.job)) {
            this.finishJob(step.job, JobPhase.Failed);
        }
    }

    private maxAttempts(job: JobState): number {
        return this.fleet.queue(job.spec.queue)?.maximumAttempts ?? Number.MAX_SAFE_INTEGER;
    }

    /** Stops the other members of a gang after one of them has ended or failed to start. */
    private stopGang(run: RunState): void {
        const { step } = run.task;
        if (!step.spec.gang || step.done) {
            return;
        }
        for (const member of step.tasks) {
            if (member.run?.run === run.run) {
                this.stopRun(member.run);
            }
        }
    }

    private completeIfDone(job: JobState): void {
        if (job.closeDoneOccurrences()) {
            this.finishJob(job, JobPhase.Completed);
        }
    }

    /** Commits the present state of a job. */
    public markChanged(job: JobState): void {
        this.jobChanged.fire(job);
    }

    /** Records that a task of the job has started. */
    public markStarted(job: JobState): void {
        job.startedAtMs ??= this.timer.nowMs();
        if (job.phase === JobPhase.Queued) {
            job.phase = JobPhase.Running;
            this.jobChanged.fire(job);
        }
    }

    /**
     * Whether a report names a job that may have been accepted after the last read of the intake: a previous owner may
     * have started it.
     */
    private awaitsIntake(worker: WorkerState, taskName: string): boolean {
        const jobId = parseTaskName(taskName)?.jobId;
        const isKnown = jobId === undefined || this.fleet.jobs.has(jobId) || this.fleet.endedJobs.has(jobId)
            || worker.runs.has(taskName) || this.unknownJobs.isAbsent(jobId);
        if (isKnown) {
            return false;
        }
        if (this.unknownJobs.add(jobId, worker)) {
            this.unknownJob.fire(jobId);
        }
        return true;
    }
}
