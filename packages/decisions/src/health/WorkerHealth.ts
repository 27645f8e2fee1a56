import { Emitter, type Event } from "@skylarkpath/common/base/Emitter";
import { DEFAULT_HEALTH_OPTIONS, type HealthOptions } from "./HealthOptions.js";
import { WorkerCondition } from "./WorkerCondition.js";

/** Properties of a task group that determine whether its failures count against a worker. */
export interface FailureSource {
    /** At least one task of the group has succeeded. */
    readonly hasSucceeded: boolean;
    /** Number of distinct workers on which tasks of the group failed. */
    readonly failedWorkerCount: number;
}

/** A worker and its new condition. */
export interface ConditionChange {
    readonly workerId: string;
    readonly condition: WorkerCondition;
}

interface WorkerRecord {
    readonly workerId: string;
    condition: WorkerCondition;
    /** Ids of the tasks that failed since the last success, by their group. */
    readonly failedTasks: Map<FailureSource, Set<string>>;
    quarantinedUntilMs: number;
    quarantineCount: number;
}

const MIN_QUARANTINE_LIMIT = 1;
/** A worker without peers in use is not quarantined: nothing shows that its failures are its own, and all work would wait. */
const MIN_PEERS = 1;
const MAX_RECORDED_TASKS = 8;
const MAX_RECORDED_SOURCES = 8;

/**
 * Quarantines workers on which several distinct tasks fail. The tasks have to belong to different groups, or to one of
 * which a task has succeeded, since a group that fails everywhere says nothing about a worker.
 */
export class WorkerHealth {
    private readonly records = new Map<string, WorkerRecord>();
    private readonly quarantined = new Set<WorkerRecord>();
    private readonly changed = new Emitter<ConditionChange>();
    private readonly options: HealthOptions;

    public readonly onChanged: Event<ConditionChange> = this.changed.event;

    constructor(
        /** Number of workers that may take tasks, quarantined ones included. */
        private readonly workerCount: () => number,
        options: Partial<HealthOptions> = {}
    ) {
        this.options = { ...DEFAULT_HEALTH_OPTIONS, ...options };
    }

    /** Returns the condition of a worker; an unknown one is healthy. */
    public conditionOf(workerId: string): WorkerCondition {
        return this.records.get(workerId)?.condition ?? WorkerCondition.Healthy;
    }

    /** Records a success, which clears the failures of the worker and ends its quarantine or probation. */
    public taskSucceeded(workerId: string): void {
        const record = this.records.get(workerId);
        if (record !== undefined) {
            record.failedTasks.clear();
            record.quarantineCount = 0;
            this.setCondition(record, WorkerCondition.Healthy);
        }
    }

    /** Records a failure and quarantines the worker when it counts as faulty, or fails again on probation. */
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

    /** Drops the failures of a rejected group and releases the workers that do not count as faulty without them. */
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

    /** Returns whether other groups fail on most workers too, so that the cause is neither this group nor a worker. */
    public isFleetFailing(source: FailureSource): boolean {
        let failing = 0;
        for (const { failedTasks } of this.records.values()) {
            failing += failedTasks.size > (failedTasks.has(source) ? 1 : 0) ? 1 : 0;
        }
        return failing > this.workerCount() * this.options.fleetFailureFraction;
    }

    /** Moves workers whose quarantine has ended to probation, and all of them when no other worker is left. */
    public advance(nowMs: number): void {
        const isLast = this.peerCount < MIN_PEERS;
        for (const record of this.quarantined) {
            if (isLast || nowMs >= record.quarantinedUntilMs) {
                this.setCondition(record, WorkerCondition.Probation);
            }
        }
    }

    /** Drops the record of a removed worker, unless it is quarantined or on probation and may rejoin. */
    public forget(workerId: string): void {
        if (this.conditionOf(workerId) === WorkerCondition.Healthy) {
            this.records.delete(workerId);
        }
    }

    /** Number of workers that may take tasks and are not quarantined. */
    private get peerCount(): number {
        return this.workerCount() - this.quarantined.size;
    }

    private shouldQuarantine(record: WorkerRecord): boolean {
        if (this.peerCount - 1 < MIN_PEERS) {
            return false;
        }
        if (record.condition === WorkerCondition.Probation) {
            return this.countAttributableTasks(record) > 0;
        }
        const limit = Math.max(
            MIN_QUARANTINE_LIMIT,
            Math.floor(this.workerCount() * this.options.maxQuarantinedFraction)
        );
        return this.quarantined.size < limit && this.isFaulty(record);
    }

    /** Returns whether enough distinct tasks failed, of several groups or of a group that has succeeded elsewhere. */
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
