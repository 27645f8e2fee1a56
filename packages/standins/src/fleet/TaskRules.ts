import type { JobSpec, ResourceAmounts, StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import { RunEnd } from "@skylarkpath/fleet/ports/WorkerClient";
import { parseTaskName } from "@skylarkpath/fleet/state/TaskName";
import type { MemoryFleetWorker } from "./MemoryFleetWorker.js";

interface LiveRun {
    readonly run: number;
    readonly worker: MemoryFleetWorker;
}

/** What every worker knows of tasks, and the checks of what must never happen to them. */
export class TaskRules {
    /** What went wrong, in the words of the rule that was broken. */
    public readonly violations: string[] = [];
    public readonly doneTasks = new Set<string>();
    /** Tasks whose end was noted by an owner. */
    public readonly notedDone = new Set<string>();
    /** Failed runs of each task, noted or not. */
    public readonly failedRuns = new Map<string, number[]>();
    private readonly notedFailures = new Set<string>();
    private readonly startsAfterFailures: {
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
    private readonly live = new Map<string, LiveRun>();

    constructor(private readonly attempts: number) {}

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
    public gangPresent(task: string, run: number): boolean {
        return this.members(task).every(member => this.live.get(member)?.run === run);
    }

    public noteStart(task: string, run: number, worker: MemoryFleetWorker): void {
        this.starts++;
        const other = this.live.get(task);
        if (other?.worker.alive && other.worker.running.get(task)?.run === other.run) {
            this.violations.push(`TWICE: ${task} run ${run} on ${worker.entry.id} beside run ${other.run}`);
        }
        if (this.notedDone.has(task)) {
            this.violations.push(`TWICE: ${task} run ${run} after its end was noted`);
        }
        const failed = this.failedRuns.get(task) ?? [];
        if (failed.length >= this.attempts) {
            this.startsAfterFailures.push({ task, run, failed: [...failed] });
        }
        this.checkOrder(task);
        this.live.set(task, { run, worker });
        if (worker.used.cpuMilli > worker.entry.capacity.cpuMilli) {
            this.violations.push(`LIMIT: ${worker.entry.id} by ${task}`);
        }
        this.checkTeam(task);
    }

    public noteEnd(task: string, run: number, how: RunEnd): void {
        this.noteGone(task, run);
        const members = this.members(task);
        if (how === RunEnd.Done) {
            members.forEach(member => this.doneTasks.add(member));
        }
        if (how === RunEnd.Failed) {
            this.failedRuns.set(task, [...this.failedRuns.get(task) ?? [], run]);
        }
        for (const member of members) {
            const other = this.live.get(member);
            if (member !== task && other?.run === run) {
                other.worker.end(member, how === RunEnd.Done ? RunEnd.Done : RunEnd.GangBroken);
            }
        }
    }

    /** An owner has taken note of an end; those that nobody noted count for nothing. */
    public noteTaken(task: string, run: number, how: RunEnd): void {
        if (how === RunEnd.Done) {
            this.notedDone.add(task);
        }
        else if (how === RunEnd.Failed) {
            this.notedFailures.add(`${task}#${run}`);
        }
    }

    /** Violations of the whole history, those that only later events show among them. */
    public finish(): readonly string[] {
        const late = this.startsAfterFailures.filter(({ task, failed }) =>
            failed.filter(run => this.notedFailures.has(`${task}#${run}`)).length >= this.attempts
        );
        return [...this.violations, ...late.map(({ task, run }) => `BUDGET: ${task} run ${run}`)];
    }

    public noteGone(task: string, run: number): void {
        if (this.live.get(task)?.run === run) {
            this.live.delete(task);
        }
    }

    private step(task: string): StepSpec | undefined {
        const name = parseTaskName(task);
        return name && this.jobs.get(name.jobId)?.steps[name.step];
    }

    private members(task: string): readonly string[] {
        const step = this.step(task);
        if (!step?.gang) {
            return [task];
        }
        const prefix = task.slice(0, task.lastIndexOf("."));
        return [...Array(step.taskCount).keys()].map(index => `${prefix}.${index}`);
    }

    private checkOrder(task: string): void {
        const name = parseTaskName(task);
        const job = name && this.jobs.get(name.jobId);
        if (!name || !job) {
            this.violations.push(`UNASKED: ${task}`);
            return;
        }
        for (const earlier of job.steps[name.step]!.after) {
            for (let index = 0; index < job.steps[earlier]!.taskCount; index++) {
                const before = `${name.jobId}.${name.occurrence}.${earlier}.${index}`;
                if (!this.doneTasks.has(before)) {
                    this.violations.push(`ORDER: ${task} before ${before}`);
                }
            }
        }
    }

    private checkTeam(task: string): void {
        const team = this.jobs.get(task.split(".")[0]!)?.team ?? "";
        const limit = this.cpuLimitByTeam.get(team);
        if (limit === undefined) {
            return;
        }
        let used = 0;
        for (const running of this.live.keys()) {
            if (this.jobs.get(running.split(".")[0]!)?.team === team) {
                used += this.size(running).cpuMilli;
            }
        }
        if (used > limit) {
            this.violations.push(`QUOTA: ${team} has ${used} by ${task}`);
        }
    }
}
