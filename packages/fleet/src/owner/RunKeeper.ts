import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { JobPhase } from "../model/JobSpec.js";
import { type ListedEnd, type ListedRun, RunEnd, type WorkerReport } from "../ports/WorkerCalls.js";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import { FULL_PACE_PERCENT, RunPhase, type RunState } from "../state/RunState.js";
import { readTaskName } from "../state/TaskName.js";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { WorkerHealth } from "./WorkerHealth.js";
import type { LookContext } from "./WorkerSession.js";

/** Run that has to be stopped on a worker. */
export interface UnwantedRun {
    readonly worker: WorkerState;
    readonly task: string;
    readonly run: number;
}

/** A task that makes no progress for this long stands still: two looks, and some. */
const STALL_MS = 2500;
/** A stop that the worker has not carried out is ordered again after this time. */
const STOP_REPEAT_MS = 700;

/** Keeps the runs of tasks in step with what workers report, and jobs with the ends of their runs. */
export class RunKeeper {
    private readonly changed = new Emitter<JobState>();
    private readonly unwanted = new Emitter<UnwantedRun>();
    private readonly freed = new Emitter<void>();
    private readonly health: WorkerHealth;

    /** The progress or the state of a job changed and has to be committed. */
    public readonly onJobChanged = this.changed.event;
    /** A run has to be stopped. */
    public readonly onUnwanted = this.unwanted.event;
    /** Tasks or room may have become free. */
    public readonly onFreed = this.freed.event;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService) {
        this.health = new WorkerHealth(timer);
    }

    /** Takes in the report of a worker. */
    public applyReport(worker: WorkerState, report: WorkerReport, look: LookContext, afterEnd: number): void {
        const listed = new Set<string>();
        for (const end of report.ended) {
            if (end.number > afterEnd) {
                this.applyEnd(worker, end);
            }
        }
        worker.hasForeignRuns = false;
        for (const run of report.running) {
            listed.add(run.task);
            this.applyRunning(worker, run);
        }
        for (const run of [...worker.runs.values()]) {
            if (!listed.has(run.task.name)) {
                this.applyAbsence(run, look);
            }
        }
        this.freed.fire();
    }

    /** Counts no run of a life of a worker any more. */
    public dropAll(worker: WorkerState): void {
        for (const run of [...worker.runs.values()]) {
            this.fleet.closeRun(run);
            this.breakGang(run);
        }
        this.freed.fire();
    }

    /** Ends the jobs that have used up their attempts, as the configuration in force counts them. */
    public failExhausted(): void {
        for (const job of [...this.fleet.jobs.values()]) {
            const attempts = this.attemptsOf(job);
            const isExhausted = [...job.openSteps()].some(step =>
                !step.spec.lasting && !step.done
                && (step.gangFailures.length >= attempts || step.tasks.some(task => task.failures.length >= attempts))
            );
            if (isExhausted) {
                this.finish(job, JobPhase.Failed);
            }
        }
    }

    /** Stops the gangs of which only some members were found running when all workers were known. */
    public breakPartialGangs(): void {
        for (const job of this.fleet.jobs.values()) {
            for (const step of job.openSteps()) {
                const isPartial = step.spec.gang && !step.done && step.waitingCount > 0
                    && step.tasks.some(task => task.run);
                for (const task of isPartial ? step.tasks : []) {
                    this.stop(task.run);
                }
            }
        }
    }

    /** A start was refused; the run does not exist. */
    public dropRefused(run: RunState): void {
        this.fleet.closeRun(run);
        this.breakGang(run);
        this.freed.fire();
    }

    /** Ends a job for good and stops what runs of it. */
    public finish(job: JobState, phase: JobPhase): void {
        if (job.final) {
            return;
        }
        job.phase = phase;
        for (const step of job.openSteps()) {
            for (const task of step.tasks) {
                this.stop(task.run);
            }
        }
        this.changed.fire(job);
        this.freed.fire();
    }

    /** Orders the stop of a run, once in a while until its end is listed. */
    public stop(run: RunState | undefined): void {
        if (!run || (run.stopSentAtMs !== undefined && this.timer.nowMs() < run.stopSentAtMs + STOP_REPEAT_MS)) {
            return;
        }
        run.stopWanted = true;
        if (run.phase !== RunPhase.Starting && run.phase !== RunPhase.Uncertain) {
            run.phase = RunPhase.Stopping;
            run.stopSentAtMs = this.timer.nowMs();
            this.unwanted.fire({ worker: run.worker, task: run.task.name, run: run.run });
        }
    }

    private applyRunning(worker: WorkerState, listed: ListedRun): void {
        const run = worker.runs.get(listed.task) ?? this.adopt(worker, listed);
        if (!run || run.run !== listed.run) {
            worker.hasForeignRuns = true;
            this.unwanted.fire({ worker, task: listed.task, run: listed.run });
            return;
        }
        const nowMs = this.timer.nowMs();
        run.confirmedAtMs ??= nowMs;
        if (run.phase === RunPhase.Starting || run.phase === RunPhase.Uncertain) {
            run.phase = RunPhase.Running;
        }
        if (listed.checkpoint !== "") {
            run.task.checkpoint = listed.checkpoint;
        }
        run.load = listed.load;
        if (listed.percent !== run.percent || run.pacePercent < FULL_PACE_PERCENT) {
            run.percent = listed.percent;
            run.progressedAtMs = nowMs;
        }
        if (run.stopWanted || run.task.done || run.task.step.job.final) {
            this.stop(run);
        }
        else if (!run.task.step.spec.lasting && listed.percent < 100 && nowMs - run.progressedAtMs > STALL_MS) {
            this.health.noteStall(worker, run.task);
            run.task.avoidedWorkers.add(worker.id);
            this.stop(run);
        }
    }

    /** Finds the task of a run that a former owner started; nothing when it must not run. */
    private adopt(worker: WorkerState, listed: ListedRun): RunState | undefined {
        const task = this.findTask(listed.task);
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

    private applyAbsence(run: RunState, look: LookContext): void {
        const isGone = run.confirmedAtMs !== undefined && look.sentAtMs > run.confirmedAtMs;
        const isSettled = run.phase === RunPhase.Uncertain && look.token >= run.settledByToken;
        if (isGone || isSettled) {
            this.fleet.closeRun(run);
            this.breakGang(run);
        }
    }

    private applyEnd(worker: WorkerState, listed: ListedEnd): void {
        const run = worker.runs.get(listed.task);
        const matching = run?.run === listed.run ? run : undefined;
        const task = matching?.task ?? this.findTask(listed.task);
        if (matching) {
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
            // It is started again however it ended; only the start of its job is worth keeping.
            return;
        }
        if (listed.end === RunEnd.Done) {
            this.health.noteDone(worker);
            step.markDone(task);
            this.advance(job);
        }
        else if (listed.end === RunEnd.Failed) {
            this.noteFailed(worker, task, listed.run);
        }
        else if (matching) {
            this.breakGang(matching);
        }
        this.changed.fire(job);
    }

    private noteFailed(worker: WorkerState, task: TaskState, run: number): void {
        const { step } = task;
        const failures = step.markFailed(task, run);
        task.avoidedWorkers.add(worker.id);
        this.health.noteFailure(worker, task);
        if (!step.spec.lasting && failures >= this.attemptsOf(step.job)) {
            this.finish(step.job, JobPhase.Failed);
        }
    }

    private attemptsOf(job: JobState): number {
        return this.fleet.queue(job.spec.queue)?.maximumAttempts ?? Number.MAX_SAFE_INTEGER;
    }

    /** Stops the other members of a gang when one of them will not run. */
    private breakGang(run: RunState): void {
        const { step } = run.task;
        if (!step.spec.gang || step.done) {
            return;
        }
        for (const member of step.tasks) {
            if (member.run?.run === run.run) {
                this.stop(member.run);
            }
        }
    }

    private advance(job: JobState): void {
        if (job.closeDone()) {
            this.finish(job, JobPhase.Completed);
        }
    }

    /** A task of the job has started. */
    public markStarted(job: JobState): void {
        job.startedAtMs ??= this.timer.nowMs();
        if (job.phase === JobPhase.Queued) {
            job.phase = JobPhase.Running;
            this.changed.fire(job);
        }
    }

    private findTask(name: string): TaskState | undefined {
        const parts = readTaskName(name);
        return parts && this.fleet.jobs.get(parts.jobId)?.findTask(parts.occurrence, parts.step, parts.index);
    }
}
