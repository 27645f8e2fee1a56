import { Emitter, type Event } from "@skylarkpath/common/base/Emitter";
import { DEFAULT_HEALTH_OPTIONS, type HealthOptions } from "./HealthOptions.js";
import { WorkerCondition } from "./WorkerCondition.js";

/** Group as its failures count for or against workers. */
export interface FailureSource {
    /** Some task of it succeeded. */
    readonly hasSucceeded: boolean;
    /** Distinct workers on which its tasks failed. */
    readonly failedWorkerCount: number;
}

/** Change of a worker's condition. */
export interface ConditionChange {
    readonly workerId: string;
    readonly condition: WorkerCondition;
}

interface WorkerRecord {
    readonly workerId: string;
    condition: WorkerCondition;
    /** Failed tasks since the last success, by the group that they belong to. */
    readonly failedTasks: Map<FailureSource, Set<string>>;
    quarantinedUntilMs: number;
    quarantineCount: number;
}

const MIN_QUARANTINED_WORKERS = 1;
const MAX_RECORDED_TASKS = 8;
const MAX_RECORDED_SOURCES = 8;

/** Judges workers by the distinct tasks and groups that fail there and run elsewhere. */
export class WorkerHealth {
    private readonly records = new Map<string, WorkerRecord>();
    private readonly quarantined = new Set<WorkerRecord>();
    private readonly changed = new Emitter<ConditionChange>();
    private readonly options: HealthOptions;

    public readonly onChanged: Event<ConditionChange> = this.changed.event;

    constructor(private readonly workerCount: () => number, options: Partial<HealthOptions> = {}) {
        this.options = { ...DEFAULT_HEALTH_OPTIONS, ...options };
    }

    /** Condition of a worker. */
    public conditionOf(workerId: string): WorkerCondition {
        return this.records.get(workerId)?.condition ?? WorkerCondition.Healthy;
    }

    /** Learns that a task succeeded on a worker. */
    public taskSucceeded(workerId: string): void {
        const record = this.records.get(workerId);
        if (record !== undefined) {
            record.failedTasks.clear();
            record.quarantineCount = 0;
            this.setCondition(record, WorkerCondition.Healthy);
        }
    }

    /** Learns that a task failed on a worker. */
    public taskFailed(workerId: string, taskId: string, source: FailureSource, nowMs: number): void {
        const record = this.obtain(workerId);
        let tasks = record.failedTasks.get(source);
        if (tasks === undefined) {
            tasks = new Set();
            record.failedTasks.set(source, tasks);
            removeOldest(record.failedTasks);
        }
        if (tasks.size < MAX_RECORDED_TASKS) {
            tasks.add(taskId);
        }
        if (record.condition !== WorkerCondition.Quarantined && this.shouldQuarantine(record)) {
            this.quarantine(record, nowMs);
        }
    }

    /** Releases workers that were quarantined because of a group that turned out to fail everywhere. */
    public sourceRejected(source: FailureSource): void {
        for (const record of this.records.values()) {
            if (!record.failedTasks.delete(source)) {
                continue;
            }
            if (record.condition !== WorkerCondition.Healthy && !this.isFaulty(record)) {
                this.setCondition(record, WorkerCondition.Healthy);
            }
        }
    }

    /** Tells whether other groups fail on most workers too, so that the cause lies outside of groups and workers. */
    public isFleetFailing(source: FailureSource): boolean {
        let failing = 0;
        for (const { failedTasks } of this.records.values()) {
            failing += failedTasks.size > (failedTasks.has(source) ? 1 : 0) ? 1 : 0;
        }
        return failing > this.workerCount() * this.options.fleetFailureFraction;
    }

    /** Puts workers on probation whose quarantine is over. */
    public advance(nowMs: number): void {
        for (const record of this.quarantined) {
            if (nowMs >= record.quarantinedUntilMs) {
                this.setCondition(record, WorkerCondition.Probation);
            }
        }
    }

    /** Forgets a worker that is gone, unless it is remembered for its failures. */
    public forget(workerId: string): void {
        if (this.conditionOf(workerId) === WorkerCondition.Healthy) {
            this.records.delete(workerId);
        }
    }

    private shouldQuarantine(record: WorkerRecord): boolean {
        if (record.condition === WorkerCondition.Probation) {
            return this.countAttributableTasks(record) > 0;
        }
        const limit = Math.max(
            MIN_QUARANTINED_WORKERS,
            Math.floor(this.workerCount() * this.options.maxQuarantinedFraction)
        );
        return this.quarantined.size < limit && this.isFaulty(record);
    }

    /** Enough distinct tasks failed, of several groups or of one that runs elsewhere. */
    private isFaulty(record: WorkerRecord): boolean {
        let groups = 0;
        let succeededGroups = 0;
        for (const source of record.failedTasks.keys()) {
            if (this.isAttributable(source)) {
                groups++;
                succeededGroups += source.hasSucceeded ? 1 : 0;
            }
        }
        const enoughTasks = this.countAttributableTasks(record) >= this.options.minFailedTasks;
        return enoughTasks && (groups > 1 || succeededGroups > 0);
    }

    private countAttributableTasks(record: WorkerRecord): number {
        let tasks = 0;
        for (const [source, failed] of record.failedTasks) {
            tasks += this.isAttributable(source) ? failed.size : 0;
        }
        return tasks;
    }

    private isAttributable(source: FailureSource): boolean {
        return source.hasSucceeded || source.failedWorkerCount < this.options.ignoreGroupAfterWorkers;
    }

    private quarantine(record: WorkerRecord, nowMs: number): void {
        const durationMs = this.options.quarantineMs * 2 ** record.quarantineCount;
        record.quarantinedUntilMs = nowMs + Math.min(this.options.maxQuarantineMs, durationMs);
        record.quarantineCount++;
        this.setCondition(record, WorkerCondition.Quarantined);
    }

    private setCondition(record: WorkerRecord, condition: WorkerCondition): void {
        if (record.condition === condition) {
            return;
        }
        record.condition = condition;
        if (condition === WorkerCondition.Quarantined) {
            this.quarantined.add(record);
        }
        else {
            this.quarantined.delete(record);
        }
        this.changed.fire({ workerId: record.workerId, condition });
    }

    private obtain(workerId: string): WorkerRecord {
        let record = this.records.get(workerId);
        if (record === undefined) {
            record = {
                workerId,
                condition: WorkerCondition.Healthy,
                failedTasks: new Map(),
                quarantinedUntilMs: 0,
                quarantineCount: 0
            };
            this.records.set(workerId, record);
        }
        return record;
    }
}

function removeOldest(failedTasks: Map<FailureSource, Set<string>>): void {
    if (failedTasks.size > MAX_RECORDED_SOURCES) {
        const [oldest] = failedTasks.keys();
        failedTasks.delete(oldest!);
    }
}
