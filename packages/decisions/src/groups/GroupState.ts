import { GroupKind, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type HeapElement, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { FailureSource } from "../health/WorkerHealth.js";
import type { ProfileRunTimes } from "../learning/ProfileRunTimes.js";
import type { Reservation } from "../tasks/Reservation.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import { ReplicaSpread } from "./ReplicaSpread.js";
import type { RunningTask } from "./RunningTask.js";
import type { Shape } from "./Shape.js";
import { TaskFailures } from "./TaskFailures.js";

const NO_IDS: ReadonlySet<string> = new Set();

/** Group with its waiting and running tasks. */
export class GroupState implements HeapElement, FailureSource {
    public heapIndex = NOT_IN_HEAP;
    public readonly running = new Map<string, RunningTask>();
    /** Withdrawn or rejected; kept while tasks run. */
    public withdrawn = false;
    /** Latest start that meets the deadline; orders the groups of a team. */
    public orderKeyMs = 0;
    /** Some task of the group succeeded. */
    public hasSucceeded = false;
    /** Workers kept for the group. */
    public reservation: Reservation | undefined;
    /** Tasks that were stopped for urgent work. */
    public preemptionCount = 0;
    /** Where the replicas of a service run. */
    public readonly spread: ReplicaSpread | undefined;
    /** Collections that few groups need are created when first used. */
    private failuresByTask: Map<string, TaskFailures> | undefined;
    private failedWorkers: Set<string> | undefined;
    /** Tasks that wait for a delay after a failure. */
    private delayedIds: Set<string> | undefined;
    private readonly waitingIds = new Set<string>();
    private finishedIds: Set<string> | undefined;
    /** Waiting tasks, next one last; may hold ids that no longer wait. */
    private waitingOrder: string[] = [];

    constructor(
        public readonly group: TaskGroup,
        public readonly team: TeamAccount,
        public readonly shape: Shape,
        public readonly runTimes: ProfileRunTimes
    ) {
        this.spread = this.isService ? new ReplicaSpread() : undefined;
    }

    public get isGang(): boolean {
        return this.group.kind === GroupKind.Gang;
    }

    public get isService(): boolean {
        return this.group.kind === GroupKind.Service;
    }

    /** Tasks that may start now. */
    public get waitingCount(): number {
        return this.waitingIds.size;
    }

    public get delayedCount(): number {
        return this.delayedIds?.size ?? 0;
    }

    /** Nothing waits and nothing runs. */
    public get isDone(): boolean {
        return this.waitingIds.size === 0 && this.delayedCount === 0 && this.running.size === 0;
    }

    /** Distinct workers on which tasks of the group failed. */
    public get failedWorkerCount(): number {
        return this.failedWorkers?.size ?? 0;
    }

    public get failedWorkerIds(): ReadonlySet<string> {
        return this.failedWorkers ?? NO_IDS;
    }

    /** Makes the tasks wait that are neither waiting, running nor finished; returns how many. */
    public addTasks(taskIds: readonly string[], isRunning: (taskId: string) => boolean): number {
        const added: string[] = [];
        for (const taskId of taskIds) {
            if (!this.isKnown(taskId) && !isRunning(taskId)) {
                this.waitingIds.add(taskId);
                added.push(taskId);
            }
        }
        if (added.length > 0) {
            this.waitingOrder = added.reverse().concat(this.waitingOrder);
        }
        return added.length;
    }

    /** Returns the next waiting task without taking it. */
    public peekWaiting(): string | undefined {
        let taskId = this.waitingOrder.at(-1);
        while (taskId !== undefined && !this.waitingIds.has(taskId)) {
            this.waitingOrder.pop();
            taskId = this.waitingOrder.at(-1);
        }
        return taskId;
    }

    /** Takes the next waiting task. */
    public takeWaiting(): string | undefined {
        const taskId = this.peekWaiting();
        if (taskId !== undefined) {
            this.waitingOrder.pop();
            this.waitingIds.delete(taskId);
        }
        return taskId;
    }

    /** Stops a task from waiting; returns whether it was. */
    public removeWaiting(taskId: string): boolean {
        const delayed = this.delayedIds?.delete(taskId) ?? false;
        return this.waitingIds.delete(taskId) || delayed;
    }

    /** Keeps a task from starting until its delay is over. */
    public delay(taskId: string): void {
        this.delayedIds ??= new Set();
        this.delayedIds.add(taskId);
    }

    /** Makes a delayed task wait; returns false when it no longer is delayed. */
    public endDelay(taskId: string): boolean {
        const delayed = this.delayedIds?.delete(taskId) ?? false;
        if (delayed) {
            this.requeue(taskId, false);
        }
        return delayed;
    }

    /** Remembers that a task failed on a worker and returns all of its failures. */
    public addFailure(taskId: string, workerId: string, nowMs: number): TaskFailures {
        this.failuresByTask ??= new Map();
        this.failedWorkers ??= new Set();
        let failures = this.failuresByTask.get(taskId);
        if (failures === undefined) {
            failures = new TaskFailures();
            this.failuresByTask.set(taskId, failures);
        }
        failures.add(workerId, nowMs);
        this.failedWorkers.add(workerId);
        return failures;
    }

    /** Failures of a task, if any. */
    public failuresOf(taskId: string): TaskFailures | undefined {
        return this.failuresByTask?.get(taskId);
    }

    /** Makes a task wait again, ahead of the others or behind them. */
    public requeue(taskId: string, atFront: boolean): void {
        if (this.waitingIds.has(taskId)) {
            return;
        }
        this.waitingIds.add(taskId);
        if (atFront) {
            this.waitingOrder.push(taskId);
        }
        else {
            this.waitingOrder.unshift(taskId);
        }
    }

    /** Remembers a finished task, so that it does not wait again; replicas of services may. */
    public markFinished(taskId: string): void {
        this.failuresByTask?.delete(taskId);
        if (!this.isService && (this.waitingIds.size > 0 || this.delayedCount > 0 || this.running.size > 1)) {
            this.finishedIds ??= new Set();
            this.finishedIds.add(taskId);
        }
    }

    /** Drops all waiting tasks. */
    public clearWaiting(): void {
        this.waitingIds.clear();
        this.delayedIds?.clear();
        this.waitingOrder = [];
    }

    private isKnown(taskId: string): boolean {
        return this.waitingIds.has(taskId)
            || this.delayedIds?.has(taskId) === true
            || this.finishedIds?.has(taskId) === true;
    }
}
