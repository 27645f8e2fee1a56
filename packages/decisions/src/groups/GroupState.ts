import { GroupKind, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type HeapElement, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import type { RunningTask } from "./RunningTask.js";
import type { Shape } from "./Shape.js";

/** Group with its waiting and running tasks. */
export class GroupState implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    public readonly running = new Map<string, RunningTask>();
    /** Withdrawn or rejected; kept while tasks run. */
    public withdrawn = false;
    /** Latest start that meets the deadline; orders the groups of a team. */
    public orderKeyMs = 0;
    private readonly waitingIds = new Set<string>();
    private readonly finishedIds = new Set<string>();
    /** Waiting tasks, next one last; may hold ids that no longer wait. */
    private waitingOrder: string[] = [];

    constructor(
        public readonly group: TaskGroup,
        public readonly team: TeamAccount,
        public readonly shape: Shape
    ) {}

    public get isGang(): boolean {
        return this.group.kind === GroupKind.Gang;
    }

    public get isService(): boolean {
        return this.group.kind === GroupKind.Service;
    }

    public get waitingCount(): number {
        return this.waitingIds.size;
    }

    /** Makes the tasks wait that are neither waiting, running nor finished; returns how many. */
    public addTasks(taskIds: readonly string[], isRunning: (taskId: string) => boolean): number {
        const added: string[] = [];
        for (const taskId of taskIds) {
            if (!this.waitingIds.has(taskId) && !this.finishedIds.has(taskId) && !isRunning(taskId)) {
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
        return this.waitingIds.delete(taskId);
    }

    /** Makes a task wait again, ahead of the others or behind them. */
    public requeue(taskId: string, ahead: boolean): void {
        if (this.waitingIds.has(taskId)) {
            return;
        }
        this.waitingIds.add(taskId);
        if (ahead) {
            this.waitingOrder.push(taskId);
        }
        else {
            this.waitingOrder.unshift(taskId);
        }
    }

    /** Remembers a finished task, so that it does not wait again; replicas of services may. */
    public markFinished(taskId: string): void {
        if (!this.isService) {
            this.finishedIds.add(taskId);
        }
    }

    /** Drops all waiting tasks. */
    public clearWaiting(): void {
        this.waitingIds.clear();
        this.waitingOrder = [];
    }
}
