import { type Decision, DecisionKind, GroupKind, TaskEnd } from "@skylarkpath/common/scheduling/TaskScheduler";
import { build, type Histogram } from "hdr-histogram-js";
import { EventQueue, type VirtualEvent } from "./EventQueue.js";
import { type Arrival, createArrivals, createPolicies, createWorkers, type TaskWorkloadShape } from "./TaskWorkload.js";
import type { TimedScheduler } from "./TimedScheduler.js";
import { UsageMeter } from "./UsageMeter.js";

interface RunningTask {
    readonly arrival: Arrival;
    readonly taskId: string;
    readonly startedAtMs: number;
    readonly end: VirtualEvent | undefined;
    savedMs: number;
}

interface GroupProgress {
    readonly arrival: Arrival;
    endedCount: number;
    startedCount: number;
    startedAtMs?: number;
    finishedAtMs?: number;
}

/** Settings of a run in virtual time. */
export interface TaskRunOptions {
    readonly decideIntervalMs: number;
    /** Part of the run after which waiting, usage and processor time are measured. */
    readonly warmUpMs: number;
    readonly stopDelayMs: number;
}

/** What a run measured. */
export interface TaskRunResult {
    readonly waitsMs: ReadonlyMap<string, Histogram>;
    readonly usage: UsageMeter;
    readonly startCount: number;
    readonly finishedGangs: number;
    readonly dueGangs: number;
    readonly missedGangs: number;
    readonly stoppedCount: number;
    readonly rejectedCount: number;
    readonly longestUrgentWaitMs: number;
}

const DEFAULT_TASK_RUN_OPTIONS: TaskRunOptions = { decideIntervalMs: 10, warmUpMs: 0, stopDelayMs: 50 };
const HIGHEST_WAIT_MS = 1_000_000_000;

/** Drives a task scheduler through a workload in virtual time. */
export class TaskRun {
    private readonly events = new EventQueue();
    private readonly running = new Map<string, RunningTask>();
    private readonly leftMs = new Map<string, number>();
    private readonly groups = new Map<string, GroupProgress>();
    private readonly waitsMs = new Map<string, Histogram>();
    private readonly usage: UsageMeter;
    private readonly options: TaskRunOptions;
    private nowMs = 0;
    private startCount = 0;
    private stoppedCount = 0;
    private rejectedCount = 0;
    private longestUrgentWaitMs = 0;

    constructor(
        private readonly shape: TaskWorkloadShape,
        private readonly scheduler: TimedScheduler,
        options: Partial<TaskRunOptions> = {}
    ) {
        this.options = { ...DEFAULT_TASK_RUN_OPTIONS, ...options };
        this.usage = new UsageMeter(shape);
    }

    /** Runs the whole workload. */
    public run(): TaskRunResult {
        createWorkers(this.shape).forEach(worker => this.scheduler.upsertWorker(worker));
        this.scheduler.setTeams(createPolicies(this.shape));
        for (const arrival of createArrivals(this.shape)) {
            this.events.at(arrival.atMs, () => this.submit(arrival));
        }
        let measuring = false;
        for (this.nowMs = 0; this.nowMs <= this.shape.durationMs; this.nowMs += this.options.decideIntervalMs) {
            if (!measuring && this.nowMs >= this.options.warmUpMs) {
                measuring = true;
                this.scheduler.reset();
                this.usage.begin(this.nowMs);
            }
            this.events.runUntil(this.nowMs);
            this.scheduler.decide(this.nowMs).forEach(decision => this.carryOut(decision));
            this.usage.advance(this.nowMs);
        }
        return this.collect();
    }

    private submit(arrival: Arrival): void {
        this.groups.set(arrival.group.groupId, { arrival, endedCount: 0, startedCount: 0 });
        this.scheduler.submit(arrival.group);
    }

    private carryOut(decision: Decision): void {
        switch (decision.kind) {
            case DecisionKind.Start:
                this.start(decision.taskId, decision.groupId);
                break;
            case DecisionKind.Checkpoint:
                this.checkpoint(decision.taskId);
                break;
            case DecisionKind.Stop:
                this.events.at(this.nowMs + this.options.stopDelayMs, () => this.stop(decision.taskId));
                break;
            case DecisionKind.Reject:
                this.rejectedCount++;
                this.groups.delete(decision.groupId);
                break;
            case DecisionKind.Throttle:
                break;
        }
    }

    private start(taskId: string, groupId: string): void {
        const progress = this.groups.get(groupId)!;
        const { arrival } = progress;
        const durationMs = this.leftMs.get(taskId) ?? arrival.durationsMs[arrival.group.taskIds.indexOf(taskId)]!;
        const isService = arrival.group.kind === GroupKind.Service;
        const end = isService ? undefined : this.events.at(this.nowMs + durationMs, () => this.end(taskId));
        this.running.set(taskId, { arrival, taskId, startedAtMs: this.nowMs, end, savedMs: 0 });
        this.usage.add(arrival.group, 1);
        this.startCount++;
        if (!this.leftMs.has(taskId)) {
            this.leftMs.set(taskId, durationMs);
            this.recordWait(progress);
        }
    }

    private recordWait(progress: GroupProgress): void {
        const { arrival } = progress;
        const isFirst = progress.startedAtMs === undefined;
        progress.startedAtMs ??= this.nowMs;
        progress.startedCount++;
        if (arrival.atMs < this.options.warmUpMs || (arrival.group.kind === GroupKind.Gang && !isFirst)) {
            return;
        }
        const waitMs = Math.max(0, Math.round(this.nowMs - arrival.atMs));
        this.histogramOf(arrival.stream).recordValue(waitMs);
        if (arrival.group.urgent) {
            this.longestUrgentWaitMs = Math.max(this.longestUrgentWaitMs, waitMs);
        }
    }

    private end(taskId: string): void {
        const task = this.running.get(taskId)!;
        this.running.delete(taskId);
        this.leftMs.delete(taskId);
        this.usage.add(task.arrival.group, -1);
        const progress = this.groups.get(task.arrival.group.groupId);
        if (progress !== undefined) {
            progress.endedCount++;
            progress.finishedAtMs = this.nowMs;
            this.finishWhenDone(progress);
        }
        this.scheduler.taskEnded(taskId, TaskEnd.Succeeded, this.nowMs);
    }

    private finishWhenDone(progress: GroupProgress): void {
        const { group } = progress.arrival;
        if (progress.endedCount === group.taskIds.length && group.kind !== GroupKind.Gang) {
            this.groups.delete(group.groupId);
        }
    }

    private checkpoint(taskId: string): void {
        const task = this.running.get(taskId);
        if (task !== undefined) {
            task.savedMs = this.nowMs - task.startedAtMs;
        }
    }

    private stop(taskId: string): void {
        const task = this.running.get(taskId);
        if (task === undefined) {
            return;
        }
        this.running.delete(taskId);
        this.leftMs.set(taskId, Math.max(1, this.leftMs.get(taskId)! - task.savedMs));
        this.usage.add(task.arrival.group, -1);
        this.stoppedCount++;
        if (task.end !== undefined) {
            this.events.cancel(task.end);
        }
        this.scheduler.taskEnded(taskId, TaskEnd.Requeued, this.nowMs);
    }

    private histogramOf(stream: string): Histogram {
        let histogram = this.waitsMs.get(stream);
        if (histogram === undefined) {
            histogram = build({ highestTrackableValue: HIGHEST_WAIT_MS, numberOfSignificantValueDigits: 3 });
            this.waitsMs.set(stream, histogram);
        }
        return histogram;
    }

    /** Waits of tasks that never started count with their age at the end of the run. */
    private collect(): TaskRunResult {
        let [finishedGangs, dueGangs, missedGangs] = [0, 0, 0];
        for (const progress of this.groups.values()) {
            const { group } = progress.arrival;
            while (progress.startedCount < group.taskIds.length) {
                this.recordWait(progress);
            }
            if (group.kind !== GroupKind.Gang) {
                continue;
            }
            const finished = progress.endedCount === group.taskIds.length;
            finishedGangs += finished ? 1 : 0;
            if (group.deadlineAtMs! <= this.nowMs) {
                dueGangs++;
                missedGangs += finished && progress.finishedAtMs! <= group.deadlineAtMs! ? 0 : 1;
            }
        }
        const { waitsMs, usage, startCount, stoppedCount, rejectedCount, longestUrgentWaitMs } = this;
        return {
            waitsMs,
            usage,
            startCount,
            finishedGangs,
            dueGangs,
            missedGangs,
            stoppedCount,
            rejectedCount,
            longestUrgentWaitMs
        };
    }
}
