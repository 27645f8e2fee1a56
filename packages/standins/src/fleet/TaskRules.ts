import type { JobSpec, ResourceAmounts, StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import { RunEnd } from "@skylarkpath/fleet/ports/WorkerClient";
import { parseTaskName } from "@skylarkpath/fleet/state/TaskName";
import type { MemoryFleetWorker } from "./MemoryFleetWorker.js";

interface TrackedRun {
    readonly run: number;
    readonly worker: MemoryFleetWorker;
}

/** What every worker knows of tasks, and the checks of what must never happen to them. */
export class TaskRules {
    /** What went wrong, in the words of the rule that was broken. */
    public readonly violations: string[] = [];
    public readonly doneTasks = new Set<string>();
    /** Tasks whose end was noted by an owner. */
    public readonly acknowledgedDoneTasks = new Set<string>();
    /** Failed runs of each task, noted or not. */
    public readonly failedRuns = new Map<string, number[]>();
    private readonly acknowledgedFailures = new Set<string>();
    private readonly startsAfterMaxFailures: {
        readonly task: string;
        readonly run: number;
        readonly failed: number[];
    }[] = [];
    public starts = 0;
    /** Jobs whose tasks always fail. */
    public readonly hopelessJobs = new Set<string>();
    /** Upper limits of processors by team. */
    public readonly cpuLimitByTeam = new Map<string, number>();
    private readonly jobs = new Map<string, JobSpec>();
    private readonly activeRuns = new Map<string, TrackedRun>();

    constructor(private readonly maxAttempts: number) {}

    /** Makes a job known, with the time that its tasks take. */
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
        return this.hopelessJobs.has(task.split(".")[0]!);
    }

    /** All members of the run are present; true for tasks that are no members of a gang. */
    public isGangRunning(task: string, run: number): boolean {
        return this.gangMembers(task).every(member => this.activeRuns.get(member)?.run === run);
    }

    public recordStart(task: string, run: number, worker: MemoryFleetWorker): void {
        this.starts++;
        const previous = this.activeRuns.get(task);
        if (previous?.worker.alive && previous.worker.running.get(task)?.run === previous.run) {
            this.violations.push(`TWICE: ${task} run ${run} on ${worker.entry.id} beside run ${previous.run}`);
        }
        if (this.acknowledgedDoneTasks.has(task)) {
            this.violations.push(`TWICE: ${task} run ${run} after its end was noted`);
        }
        const failed = this.failedRuns.get(task) ?? [];
        if (failed.length >= this.maxAttempts) {
            this.startsAfterMaxFailures.push({ task, run, failed: [...failed] });
        }
        this.checkDependencies(task);
        this.activeRuns.set(task, { run, worker });
        if (worker.usedResources.cpuMilli > worker.entry.capacity.cpuMilli) {
            this.violations.push(`LIMIT: ${worker.entry.id} by ${task}`);
        }
        this.checkTeamLimit(task);
    }

    public recordEnd(task: string, run: number, end: RunEnd): void {
        this.removeRun(task, run);
        const members = this.gangMembers(task);
        if (end === RunEnd.Done) {
            members.forEach(member => this.doneTasks.add(member));
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

    /** An owner has taken note of an end; those that nobody noted count for nothing. */
    public recordAcknowledgement(task: string, run: number, end: RunEnd): void {
        if (end === RunEnd.Done) {
            this.acknowledgedDoneTasks.add(task);
        }
        else if (end === RunEnd.Failed) {
            this.acknowledgedFailures.add(`${task}#${run}`);
        }
    }

    /** Violations of the whole history, those that only later events show among them. */
    public finish(): readonly string[] {
        const overBudget = this.startsAfterMaxFailures.filter(({ task, failed }) =>
            failed.filter(run => this.acknowledgedFailures.has(`${task}#${run}`)).length >= this.maxAttempts
        );
        return [...this.violations, ...overBudget.map(({ task, run }) => `BUDGET: ${task} run ${run}`)];
    }

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
