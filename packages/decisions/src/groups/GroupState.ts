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

/** A task group with its waiting, delayed and running tasks. */
export class GroupState implements HeapElement, FailureSource {
    public heapIndex = NOT_IN_HEAP;
    public readonly running = new Map<string, RunningTask>();
    /** Withdrawn by the caller or rejected; the group is retained until its running tasks end. */
    public withdrawn = false;
    /** Latest start at which a task of typical run time meets the deadline; orders the groups of a team. */
    public latestStartAtMs = 0;
    /** At least one task of the group has succeeded. */
    public hasSucceeded = false;
    /** Workers reserved for the group. */
    public reservation: Reservation | undefined;
    /** Number of times that a task of the group was preempted by urgent work. */
    public preemptionCount = 0;
    /** Replica counts per rack and worker; only set for services. */
    public readonly spread: ReplicaSpread | undefined;
    /** Optional collections are created on first use, because few groups need them. */
    private failuresByTask: Map<string, TaskFailures> | undefined;
    private failedWorkers: Set<string> | undefined;
    /** Failed tasks whose retry delay has not passed yet. */
    private delayedIds: Set<string> | undefined;
    private readonly waitingIds = new Set<string>();
    private finishedIds: Set<string> | undefined;
    /** Waiting tasks, the next one last; may contain ids that are not waiting any more, which are skipped. */
    private waitingOrder: string[] = [];

    constructor(
        public readonly definition: TaskGroup,
        public readonly team: TeamAccount,
        public readonly shape: Shape,
        public readonly runTimes: ProfileRunTimes
    ) {
        this.spread = this.isService ? new ReplicaSpread() : undefined;
    }

    public get isGang(): boolean {
        return this.definition.kind === GroupKind.Gang;
    }

    public get isService(): boolean {
        return this.definition.kind === GroupKind.Service;
    }

    /** Number of tasks that may start now, without the delayed ones. */
    public get waitingCount(): number {
        return this.waitingIds.size;
    }

    public get delayedCount(): number {
        return this.delayedIds?.size ?? 0;
    }

    /** No task of the group is waiting, delayed or running. */
    public get isDone(): boolean {
        return this.waitingIds.size === 0 && this.delayedCount === 0 && this.running.size === 0;
    }

    /** Number of distinct workers on which tasks of the group failed. */
    public get failedWorkerCount(): number {
        return this.failedWorkers?.size ?? 0;
    }

    public get failedWorkerIds(): ReadonlySet<string> {
        return this.failedWorkers ?? NO_IDS;
    }

    /** Queues the tasks that are not waiting, delayed, running or finished yet; returns how many were added. */
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

    /** Returns the next waiting task without removing it. */
    public peekWaiting(): string | undefined {
        let taskId = this.waitingOrder.at(-1);
        while (taskId !== undefined && !this.waitingIds.has(taskId)) {
            this.waitingOrder.pop();
            taskId = this.waitingOrder.at(-1);
        }
        return taskId;
    }

    /** Removes and returns the next waiting task. */
    public takeWaiting(): string | undefined {
        const taskId = this.peekWaiting();
        if (taskId !== undefined) {
            this.waitingOrder.pop();
            this.waitingIds.delete(taskId);
        }
        return taskId;
    }

    /** Removes a waiting or delayed task; returns whether it was either. */
    public removeWaiting(taskId: string): boolean {
        const delayed = this.delayedIds?.delete(taskId) ?? false;
        return this.waitingIds.delete(taskId) || delayed;
    }

    /** Marks a failed task as delayed, so that it cannot start before `endDelay`. */
    public delay(taskId: string): void {
        this.delayedIds ??= new Set();
        this.delayedIds.add(taskId);
    }

    /** Queues a delayed task behind the waiting ones; returns false when it is not delayed any more. */
    public endDelay(taskId: string): boolean {
        const delayed = this.delayedIds?.delete(taskId) ?? false;
        if (delayed) {
            this.requeue(taskId, false);
        }
        return delayed;
    }

    /** Records that a task failed on a worker and returns all failures of that task. */
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

    /** Returns the failures of a task, or undefined when it has not failed. */
    public failuresOf(taskId: string): TaskFailures | undefined {
        return this.failuresByTask?.get(taskId);
    }

    /** Queues a task again, ahead of the other waiting tasks or behind them. */
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

    /**
     * Records a finished task, so that `addTasks` does not queue it again; service replicas may run again.
     * Nothing is recorded for the last task of a group, since the group is removed then.
     */
    public markFinished(taskId: string): void {
        this.failuresByTask?.delete(taskId);
        if (!this.isService && (this.waitingIds.size > 0 || this.delayedCount > 0 || this.running.size > 1)) {
            this.finishedIds ??= new Set();
            this.finishedIds.add(taskId);
        }
    }

    /** Removes all waiting and delayed tasks. */
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
