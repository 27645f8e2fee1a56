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
const MAX_TRACKABLE_NANOSECONDS = 60_000_000_000;
const MAX_TRACKABLE_MICROSECONDS = 60_000_000;

/** Wraps a task scheduler and measures the processor time of its calls and the elapsed time of its decisions. */
export class TimedScheduler implements TaskScheduler {
    /** Elapsed time of each call of `decide`, in nanoseconds. */
    public readonly decideElapsedNanoseconds: Histogram = build({
        highestTrackableValue: MAX_TRACKABLE_NANOSECONDS,
        numberOfSignificantValueDigits: 3
    });
    /** Processor time of each call of `decide`, in microseconds. */
    public readonly decideProcessorMicroseconds: Histogram = build({
        highestTrackableValue: MAX_TRACKABLE_MICROSECONDS,
        numberOfSignificantValueDigits: 3
    });
    private processorMs = 0;
    private started = 0;

    /** Without `measuresAllCalls` only `decide` is measured. */
    constructor(private readonly scheduler: TaskScheduler, private readonly measuresAllCalls = true) {}

    /** Processor time of all measured calls in milliseconds; includes garbage collection and the measurement itself. */
    public get totalMs(): number {
        return this.processorMs;
    }

    /** Number of start decisions since the last reset. */
    public get startCount(): number {
        return this.started;
    }

    /** Discards all measurements so far. */
    public reset(): void {
        this.decideElapsedNanoseconds.reset();
        this.decideProcessorMicroseconds.reset();
        this.processorMs = 0;
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
        const usageBefore = this.readProcessorUsage();
        this.scheduler.submit(group);
        this.addProcessorTime(usageBefore);
    }

    public adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void {
        this.scheduler.adopt(taskId, groupId, workerId, startedAtMs);
    }

    public withdraw(groupId: string): readonly string[] {
        const usageBefore = this.readProcessorUsage();
        const running = this.scheduler.withdraw(groupId);
        this.addProcessorTime(usageBefore);
        return running;
    }

    public taskEnded(taskId: string, end: TaskEnd, nowMs: number): void {
        const usageBefore = this.readProcessorUsage();
        this.scheduler.taskEnded(taskId, end, nowMs);
        this.addProcessorTime(usageBefore);
    }

    public decide(nowMs: number): readonly Decision[] {
        const usageBefore = process.cpuUsage();
        const startedAtMs = performance.now();
        const decisions = this.scheduler.decide(nowMs);
        const elapsedMs = performance.now() - startedAtMs;
        const { user, system } = process.cpuUsage(usageBefore);
        this.processorMs += (user + system) / MICROSECONDS_PER_MILLISECOND;
        this.decideProcessorMicroseconds.recordValue(user + system);
        this.decideElapsedNanoseconds.recordValue(Math.round(elapsedMs * NANOSECONDS_PER_MILLISECOND));
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

    private readProcessorUsage(): NodeJS.CpuUsage | undefined {
        return this.measuresAllCalls ? process.cpuUsage() : undefined;
    }

    private addProcessorTime(usageBefore: NodeJS.CpuUsage | undefined): void {
        if (usageBefore === undefined) {
            return;
        }
        const { user, system } = process.cpuUsage(usageBefore);
        this.processorMs += (user + system) / MICROSECONDS_PER_MILLISECOND;
    }
}
