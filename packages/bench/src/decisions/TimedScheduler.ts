import type { Resources } from "@skylarkpath/common/model/Resources";
import {
    type Decision,
    DecisionKind,
    type TaskEnd,
    type TaskGroup,
    type TaskScheduler,
    type TeamPolicy,
    type WaitExplanation,
    type WorkerView
} from "@skylarkpath/common/scheduling/TaskScheduler";
import { build, type Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const NANOSECONDS_PER_MILLISECOND = 1_000_000;
const HIGHEST_NANOSECONDS = 60_000_000_000;
const HIGHEST_MICROSECONDS = 60_000_000;

/** Measures the processor time that a task scheduler spends in its calls. */
export class TimedScheduler implements TaskScheduler {
    /** Elapsed time of each call of `decide`, in nanoseconds. */
    public readonly decideNanoseconds: Histogram = build({
        highestTrackableValue: HIGHEST_NANOSECONDS,
        numberOfSignificantValueDigits: 3
    });
    /** Processor time of each call of `decide`, in microseconds. */
    public readonly decideMicroseconds: Histogram = build({
        highestTrackableValue: HIGHEST_MICROSECONDS,
        numberOfSignificantValueDigits: 3
    });
    private spentMs = 0;
    private started = 0;

    /** Without `measuresCalls` only decisions are measured. */
    constructor(private readonly scheduler: TaskScheduler, private readonly measuresCalls = true) {}

    /** Processor time spent in all calls, that of garbage collection and of measuring included. */
    public get totalMs(): number {
        return this.spentMs;
    }

    public get startCount(): number {
        return this.started;
    }

    /** Forgets what was measured so far. */
    public reset(): void {
        this.decideNanoseconds.reset();
        this.decideMicroseconds.reset();
        this.spentMs = 0;
        this.started = 0;
    }

    public setTeams(teams: ReadonlyMap<string, TeamPolicy>): void {
        this.scheduler.setTeams(teams);
    }

    public upsertWorker(worker: WorkerView): void {
        this.scheduler.upsertWorker(worker);
    }

    public removeWorker(workerId: string): void {
        this.scheduler.removeWorker(workerId);
    }

    public submit(group: TaskGroup): void {
        const before = this.begin();
        this.scheduler.submit(group);
        this.addSpent(before);
    }

    public adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void {
        this.scheduler.adopt(taskId, groupId, workerId, startedAtMs);
    }

    public withdraw(groupId: string): readonly string[] {
        const before = this.begin();
        const running = this.scheduler.withdraw(groupId);
        this.addSpent(before);
        return running;
    }

    public taskEnded(taskId: string, end: TaskEnd, nowMs: number): void {
        const before = this.begin();
        this.scheduler.taskEnded(taskId, end, nowMs);
        this.addSpent(before);
    }

    public decide(nowMs: number): readonly Decision[] {
        const usageBefore = process.cpuUsage();
        const before = performance.now();
        const decisions = this.scheduler.decide(nowMs);
        const tookMs = performance.now() - before;
        const { user, system } = process.cpuUsage(usageBefore);
        this.spentMs += (user + system) / MICROSECONDS_PER_MILLISECOND;
        this.decideMicroseconds.recordValue(user + system);
        this.decideNanoseconds.recordValue(Math.round(tookMs * NANOSECONDS_PER_MILLISECOND));
        for (const { kind } of decisions) {
            this.started += kind === DecisionKind.Start ? 1 : 0;
        }
        return decisions;
    }

    public explain(groupId: string, nowMs: number): WaitExplanation | undefined {
        return this.scheduler.explain(groupId, nowMs);
    }

    public usage(team: string): Resources {
        return this.scheduler.usage(team);
    }

    private begin(): NodeJS.CpuUsage | undefined {
        return this.measuresCalls ? process.cpuUsage() : undefined;
    }

    private addSpent(before: NodeJS.CpuUsage | undefined): void {
        if (before === undefined) {
            return;
        }
        const { user, system } = process.cpuUsage(before);
        this.spentMs += (user + system) / MICROSECONDS_PER_MILLISECOND;
    }
}
