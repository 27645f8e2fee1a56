import type { JobSpec, ResourceAmounts, StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import { RunEnd } from "@skylarkpath/fleet/ports/WorkerClient";
import { parseTaskName } from "@skylarkpath/fleet/state/TaskName";
import type { MemoryFleetWorker } from "./MemoryFleetWorker.js";

interface TrackedRun {
    readonly run: number;
    readonly worker: MemoryFleetWorker;
}

/** After this many crashed workers a task may be started that many times less one. */
const MAX_CRASHES = 3;

/** Jobs that the simulated workers run, and checks of the rules that hold for the runs of their tasks. */
export class TaskRules {
    /** Violations found so far; each begins with the name of the broken rule. */
    public readonly violations: string[] = [];
    /** Tasks that are done; all tasks of a gang are done when one of them is. */
    public readonly doneTasks = new Set<string>();
    /** Done tasks whose end an owner has acknowledged. */
    public readonly acknowledgedDoneTasks = new Set<string>();
    /** Failed runs of each task, acknowledged or not. */
    public readonly failedRuns = new Map<string, number[]>();
    private readonly acknowledgedFailures = new Set<string>();
    /** Runs of each task that ended as done, acknowledged or not. */
    private readonly doneRuns = new Map<string, number[]>();
    private readonly acknowledgedDoneRuns = new Set<string>();
    /** Starts after a run ended as done; a violation only if an owner acknowledged one of these ends then or later. */
    private readonly startsAfterDone: { readonly task: string; readonly run: number; readonly done: number[]; }[] = [];
    /** Starts after `maxAttempts` failed runs; a violation only if an owner acknowledged that many of the failures. */
    private readonly startsAfterMaxFailures: {
        readonly task: string;
        readonly run: number;
        readonly failed: number[];
    }[] = [];
    /** Number of runs that started on all workers. */
    public startCount = 0;
    /** Jobs whose tasks always fail. */
    public readonly failingJobs = new Set<string>();
    /** Tasks that crash each worker that starts them. */
    public readonly crashingTasks = new Set<string>();
    /** Numbers of workers that crashed while they ran a task. */
    public readonly crashCounts = new Map<string, number>();
    private readonly startsAfterMaxCrashes = new Map<string, number>();
    /** Limit of each team's running tasks in millicores; teams without an entry have none. */
    public readonly cpuLimitByTeam = new Map<string, number>();
    private readonly jobs = new Map<string, JobSpec>();
    private readonly activeRuns = new Map<string, TrackedRun>();

    constructor(private readonly maxAttempts: number) {}

    /** Registers a job; each of its tasks runs for the estimate of its step. */
    public addJob(job: JobSpec): void {
        this.jobs.set(job.id, job);
    }

    public durationMs(task: string): number {
        return this.step(task)?.estimateMs ?? 1;
    }

    public size(task: string): ResourceAmounts {
        return this.step(task)?.size ?? { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
    }

    public checkpointing(task: string): boolean {
        return this.step(task)?.checkpointing ?? false;
    }

    public fails(task: string): boolean {
        return this.failingJobs.has(task.split(".")[0]!);
    }

    /** Whether all tasks of the gang run with this run number; a task without a gang counts as a gang of one. */
    public isGangRunning(task: string, run: number): boolean {
        return this.gangMembers(task).every(member => this.activeRuns.get(member)?.run === run);
    }

    /** Records the start of a run and checks the rules for starts. */
    public recordStart(task: string, run: number, worker: MemoryFleetWorker): void {
        this.startCount++;
        const previous = this.activeRuns.get(task);
        if (previous?.worker.alive && previous.worker.running.get(task)?.run === previous.run) {
            this.violations.push(`TWICE: ${task} run ${run} on ${worker.entry.id} beside run ${previous.run}`);
        }
        if (this.acknowledgedDoneTasks.has(task)) {
            this.violations.push(`TWICE: ${task} run ${run} after its end was noted`);
        }
        else if (this.doneRuns.has(task) && !this.step(task)?.lasting) {
            this.startsAfterDone.push({ task, run, done: [...this.doneRuns.get(task)!] });
        }
        const failed = this.failedRuns.get(task) ?? [];
        if (failed.length >= this.maxAttempts) {
            this.startsAfterMaxFailures.push({ task, run, failed: [...failed] });
        }
        this.checkCrashes(task, run);
        this.checkDependencies(task);
        this.activeRuns.set(task, { run, worker });
        const { usedResources: used, capacity } = worker;
        if (
            used.cpuMilli > capacity.cpuMilli || used.memoryMb > capacity.memoryMb
            || used.accelerators > capacity.accelerators
        ) {
            this.violations.push(`LIMIT: ${worker.entry.id} by ${task}`);
        }
        this.checkTeamLimit(task);
    }

    /** Records the end of a run and ends the same run of the other tasks of its gang. */
    public recordEnd(task: string, run: number, end: RunEnd): void {
        this.removeRun(task, run);
        const members = this.gangMembers(task);
        if (end === RunEnd.Done) {
            members.forEach(member => this.doneTasks.add(member));
            this.doneRuns.set(task, [...this.doneRuns.get(task) ?? [], run]);
        }
        if (end === RunEnd.Failed) {
            this.failedRuns.set(task, [...this.failedRuns.get(task) ?? [], run]);
        }
        for (const member of members) {
            const memberRun = this.activeRuns.get(member);
            if (member !== task && memberRun?.run === run) {
                memberRun.worker.end(member, end === RunEnd.Done ? RunEnd.Done : RunEnd.GangBroken);
            }
        }
    }

    /** Records that a worker crashed while it ran these tasks. */
    public recordCrash(tasks: readonly string[]): void {
        for (const task of tasks) {
            this.crashCounts.set(task, (this.crashCounts.get(task) ?? 0) + 1);
        }
    }

    /** Records that an owner acknowledged an end; only acknowledged failures count towards `maxAttempts`. */
    public recordAcknowledgement(task: string, run: number, end: RunEnd): void {
        if (end === RunEnd.Done) {
            this.acknowledgedDoneTasks.add(task);
            this.acknowledgedDoneRuns.add(`${task}#${run}`);
        }
        else if (end === RunEnd.Failed) {
            this.acknowledgedFailures.add(`${task}#${run}`);
        }
    }

    /** All violations, including those that only a later acknowledgement shows. */
    public allViolations(): readonly string[] {
        const overBudget = this.startsAfterMaxFailures.filter(({ task, failed }) =>
            failed.filter(run => this.acknowledgedFailures.has(`${task}#${run}`)).length >= this.maxAttempts
        );
        const repeated = this.startsAfterDone.filter(({ task, done }) =>
            done.some(run => this.acknowledgedDoneRuns.has(`${task}#${run}`))
        );
        return [
            ...this.violations,
            ...overBudget.map(({ task, run }) => `BUDGET: ${task} run ${run}`),
            ...repeated.map(({ task, run }) => `TWICE: ${task} run ${run} after an end that was noted later`)
        ];
    }

    /** Removes a run from the active ones; a run of a killed worker is removed without an end. */
    public removeRun(task: string, run: number): void {
        if (this.activeRuns.get(task)?.run === run) {
            this.activeRuns.delete(task);
        }
    }

    private step(task: string): StepSpec | undefined {
        const name = parseTaskName(task);
        return name && this.jobs.get(name.jobId)?.steps[name.step];
    }

    private gangMembers(task: string): readonly string[] {
        const step = this.step(task);
        if (!step?.gang) {
            return [task];
        }
        const prefix = task.slice(0, task.lastIndexOf("."));
        return [...Array(step.taskCount).keys()].map(index => `${prefix}.${index}`);
    }

    private checkCrashes(task: string, run: number): void {
        if (!this.crashingTasks.has(task) || (this.crashCounts.get(task) ?? 0) < MAX_CRASHES) {
            return;
        }
        const startCount = (this.startsAfterMaxCrashes.get(task) ?? 0) + 1;
        this.startsAfterMaxCrashes.set(task, startCount);
        if (startCount >= MAX_CRASHES) {
            this.violations.push(`BUDGET: ${task} run ${run} after its crashes`);
        }
    }

    private checkDependencies(task: string): void {
        const name = parseTaskName(task);
        const job = name && this.jobs.get(name.jobId);
        if (!name || !job) {
            this.violations.push(`UNASKED: ${task}`);
            return;
        }
        for (const dependency of job.steps[name.step]!.after) {
            for (let index = 0; index < job.steps[dependency]!.taskCount; index++) {
                const dependencyTask = `${name.jobId}.${name.occurrence}.${dependency}.${index}`;
                if (!this.doneTasks.has(dependencyTask)) {
                    this.violations.push(`ORDER: ${task} before ${dependencyTask}`);
                }
            }
        }
    }

    private checkTeamLimit(task: string): void {
        const team = this.jobs.get(task.split(".")[0]!)?.team ?? "";
        const limitMillicores = this.cpuLimitByTeam.get(team);
        if (limitMillicores === undefined) {
            return;
        }
        let usedMillicores = 0;
        for (const runningTask of this.activeRuns.keys()) {
            if (this.jobs.get(runningTask.split(".")[0]!)?.team === team) {
                usedMillicores += this.size(runningTask).cpuMilli;
            }
        }
        if (usedMillicores > limitMillicores) {
            this.violations.push(`QUOTA: ${team} has ${usedMillicores} by ${task}`);
        }
    }
}
