import { type Decision, DecisionKind, GroupKind, TaskEnd } from "@skylarkpath/common/scheduling/TaskScheduler";
import { build, type Histogram } from "hdr-histogram-js";
import { EventQueue, type VirtualEvent } from "./EventQueue.js";
import {
    createArrivals,
    createTeamPolicies,
    createWorkers,
    type GroupArrival,
    type TaskWorkloadShape
} from "./TaskWorkload.js";
import type { TimedScheduler } from "./TimedScheduler.js";
import { UsageMeter } from "./UsageMeter.js";

interface RunningTask {
    readonly arrival: GroupArrival;
    readonly taskId: string;
    readonly startedAtMs: number;
    readonly endEvent: VirtualEvent | undefined;
    /** Run time covered by the latest checkpoint. */
    checkpointedMs: number;
}

interface GroupProgress {
    readonly arrival: GroupArrival;
    endedCount: number;
    startedCount: number;
    startedAtMs?: number;
    finishedAtMs?: number;
}

/** Options of a task simulation; times are virtual. */
export interface TaskSimulationOptions {
    readonly decisionIntervalMs: number;
    /** Time from the beginning of the run until measurement of waits, usage and processor time starts. */
    readonly warmUpMs: number;
    /** Time from the decision to stop a task until it has stopped. */
    readonly preemptionDelayMs: number;
}

/** Result of a task simulation. */
export interface TaskSimulationResult {
    /** Waiting times from arrival to start, by stream. */
    readonly waitsMs: ReadonlyMap<string, Histogram>;
    readonly usage: UsageMeter;
    readonly startCount: number;
    readonly finishedGangs: number;
    /** Gangs whose deadline passed during the run. */
    readonly dueGangs: number;
    /** Due gangs that did not finish by their deadline. */
    readonly missedGangs: number;
    readonly preemptedCount: number;
    readonly rejectedCount: number;
    readonly maxUrgentWaitMs: number;
}

const DEFAULT_TASK_SIMULATION_OPTIONS: TaskSimulationOptions = {
    decisionIntervalMs: 10,
    warmUpMs: 0,
    preemptionDelayMs: 50
};
const MAX_TRACKABLE_WAIT_MS = 1_000_000_000;

/** Runs a task workload against a scheduler in virtual time. */
export class TaskSimulation {
    private readonly events = new EventQueue();
    private readonly running = new Map<string, RunningTask>();
    /** Run time that each task still needs; set at its first start and removed when it ends. */
    private readonly remainingDurationsMs = new Map<string, number>();
    private readonly groups = new Map<string, GroupProgress>();
    private readonly waitsMs = new Map<string, Histogram>();
    private readonly usage: UsageMeter;
    private readonly options: TaskSimulationOptions;
    private nowMs = 0;
    private startCount = 0;
    private preemptedCount = 0;
    private rejectedCount = 0;
    private maxUrgentWaitMs = 0;

    constructor(
        private readonly shape: TaskWorkloadShape,
        private readonly scheduler: TimedScheduler,
        options: Partial<TaskSimulationOptions> = {}
    ) {
        this.options = { ...DEFAULT_TASK_SIMULATION_OPTIONS, ...options };
        this.usage = new UsageMeter(shape);
    }

    /** Runs the whole workload. */
    public run(): TaskSimulationResult {
        createWorkers(this.shape).forEach(worker => this.scheduler.upsertWorker(worker));
        this.scheduler.setTeams(createTeamPolicies(this.shape));
        for (const arrival of createArrivals(this.shape)) {
            this.events.schedule(arrival.atMs, () => this.submit(arrival));
        }
        let measuring = false;
        for (this.nowMs = 0; this.nowMs <= this.shape.durationMs; this.nowMs += this.options.decisionIntervalMs) {
            if (!measuring && this.nowMs >= this.options.warmUpMs) {
                measuring = true;
                this.scheduler.reset();
                this.usage.restart(this.nowMs);
            }
            this.events.runUntil(this.nowMs);
            this.scheduler.decide(this.nowMs).forEach(decision => this.execute(decision));
            this.usage.advanceTo(this.nowMs);
        }
        return this.collectResult();
    }

    private submit(arrival: GroupArrival): void {
        this.groups.set(arrival.group.groupId, { arrival, endedCount: 0, startedCount: 0 });
        this.scheduler.submit(arrival.group);
    }

    private execute(decision: Decision): void {
        switch (decision.kind) {
            case DecisionKind.Start:
                this.start(decision.taskId, decision.groupId);
                break;
            case DecisionKind.Checkpoint:
                this.checkpoint(decision.taskId);
                break;
            case DecisionKind.Stop:
                this.events.schedule(this.nowMs + this.options.preemptionDelayMs, () => this.stop(decision.taskId));
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
        const durationMs = this.remainingDurationsMs.get(taskId)
            ?? arrival.durationsMs[arrival.group.taskIds.indexOf(taskId)]!;
        const isService = arrival.group.kind === GroupKind.Service;
        const endEvent = isService
            ? undefined
            : this.events.schedule(this.nowMs + durationMs, () => this.endTask(taskId));
        this.running.set(taskId, { arrival, taskId, startedAtMs: this.nowMs, endEvent, checkpointedMs: 0 });
        this.usage.addTasks(arrival.group, 1);
        this.startCount++;
        if (!this.remainingDurationsMs.has(taskId)) {
            this.remainingDurationsMs.set(taskId, durationMs);
            this.recordWait(progress);
        }
    }

    /** Records the wait of one task; a gang counts once, since its tasks start together. */
    private recordWait(progress: GroupProgress): void {
        const { arrival } = progress;
        const isFirst = progress.startedAtMs === undefined;
        progress.startedAtMs ??= this.nowMs;
        progress.startedCount++;
        if (arrival.atMs < this.options.warmUpMs || (arrival.group.kind === GroupKind.Gang && !isFirst)) {
            return;
        }
        const waitMs = Math.max(0, Math.round(this.nowMs - arrival.atMs));
        this.waitHistogramOf(arrival.stream).recordValue(waitMs);
        if (arrival.group.urgent) {
            this.maxUrgentWaitMs = Math.max(this.maxUrgentWaitMs, waitMs);
        }
    }

    private endTask(taskId: string): void {
        const task = this.running.get(taskId)!;
        this.running.delete(taskId);
        this.remainingDurationsMs.delete(taskId);
        this.usage.addTasks(task.arrival.group, -1);
        const progress = this.groups.get(task.arrival.group.groupId);
        if (progress !== undefined) {
            progress.endedCount++;
            progress.finishedAtMs = this.nowMs;
            this.removeIfComplete(progress);
        }
        this.scheduler.taskEnded(taskId, TaskEnd.Succeeded, this.nowMs);
    }

    /** Removes a group whose tasks have all ended; gangs are retained for the deadline statistics. */
    private removeIfComplete(progress: GroupProgress): void {
        const { group } = progress.arrival;
        if (progress.endedCount === group.taskIds.length && group.kind !== GroupKind.Gang) {
            this.groups.delete(group.groupId);
        }
    }

    private checkpoint(taskId: string): void {
        const task = this.running.get(taskId);
        if (task !== undefined) {
            task.checkpointedMs = this.nowMs - task.startedAtMs;
        }
    }

    private stop(taskId: string): void {
        const task = this.running.get(taskId);
        if (task === undefined) {
            return;
        }
        this.running.delete(taskId);
        this.remainingDurationsMs.set(
            taskId,
            Math.max(1, this.remainingDurationsMs.get(taskId)! - task.checkpointedMs)
        );
        this.usage.addTasks(task.arrival.group, -1);
        this.preemptedCount++;
        if (task.endEvent !== undefined) {
            this.events.cancel(task.endEvent);
        }
        this.scheduler.taskEnded(taskId, TaskEnd.Requeued, this.nowMs);
    }

    private waitHistogramOf(stream: string): Histogram {
        let histogram = this.waitsMs.get(stream);
        if (histogram === undefined) {
            histogram = build({ highestTrackableValue: MAX_TRACKABLE_WAIT_MS, numberOfSignificantValueDigits: 3 });
            this.waitsMs.set(stream, histogram);
        }
        return histogram;
    }

    /** Collects the result; tasks that never started count as waiting until the end of the run. */
    private collectResult(): TaskSimulationResult {
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
        const { waitsMs, usage, startCount, preemptedCount, rejectedCount, maxUrgentWaitMs } = this;
        return {
            waitsMs,
            usage,
            startCount,
            finishedGangs,
            dueGangs,
            missedGangs,
            preemptedCount,
            rejectedCount,
            maxUrgentWaitMs
        };
    }
}
