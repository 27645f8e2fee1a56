import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import {
    addResources,
    fitsInto,
    NO_RESOURCES,
    type Resources,
    subtractResources
} from "@skylarkpath/common/model/Resources";
import {
    type WorkerCommand,
    WorkerCommandKind,
    type WorkerError,
    type WorkerExchange,
    WorkerRefusal,
    type WorkerReply,
    type WorkerTask,
    type WorkerTaskReport,
    WorkerTaskState
} from "@skylarkpath/common/platform/WorkerService";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";

interface TaskEntry {
    readonly task: WorkerTask;
    readonly epoch: number;
    state: WorkerTaskState;
    answer?: string;
    checkpoint?: string;
    leaseEndMs: number;
    completionTimer?: Disposable;
}

/** Simulated run of a task. */
export interface TaskBehavior {
    /** A task without a duration runs until stopped. */
    readonly durationMs?: number;
    readonly fails: boolean;
    readonly answer: string;
}

/** Start or end of a task on a worker, from which tests record a history. */
export interface WorkerTaskEvent {
    readonly workerId: string;
    readonly task: WorkerTask;
    readonly epoch: number;
    readonly state: WorkerTaskState;
    readonly atMs: number;
}

/** Checks that a worker makes; tests turn some off to simulate a faulty worker. */
export interface WorkerChecks {
    /** Refuses an exchange of a lower epoch. */
    readonly epoch: boolean;
    /** Refuses an exchange that a later one of the same epoch has overtaken. */
    readonly sequence: boolean;
    /** Refuses a start whose lease has already ended. */
    readonly ticket: boolean;
    /** Refuses a task that exceeds the free resources. */
    readonly capacity: boolean;
    /** Stops a task when its lease ends. */
    readonly lease: boolean;
}

/** Options of a worker in memory. */
export interface MemoryWorkerOptions {
    readonly workerId: string;
    readonly capacity: Resources;
    /** Returns how a task runs. */
    readonly behaviorOf: (task: WorkerTask) => TaskBehavior;
    /** All checks when absent. */
    readonly checks?: WorkerChecks;
}

/** All checks, as a correct worker makes them. */
export const DEFAULT_WORKER_CHECKS: WorkerChecks = {
    epoch: true,
    sequence: true,
    ticket: true,
    capacity: true,
    lease: true
};

const LEASE_CHECK_INTERVAL_MS = 50;

/** Platform worker in memory: enforces epochs, capacity and leases. */
export class MemoryWorker {
    private readonly tasks = new Map<string, TaskEntry>();
    private readonly taskEventEmitter = new Emitter<WorkerTaskEvent>();
    private epoch = 0;
    private sequence = 0;
    private restarts = 0;
    private leaving = false;
    private readonly checks: WorkerChecks;

    /** Fires at the start and end of each task. */
    public readonly onTaskEvent = this.taskEventEmitter.event;

    constructor(private readonly timer: TimerService, private readonly options: MemoryWorkerOptions) {
        this.checks = options.checks ?? DEFAULT_WORKER_CHECKS;
        timer.every(LEASE_CHECK_INTERVAL_MS, () => this.stopLapsedTasks());
    }

    /** Changes with every restart. */
    public get incarnation(): string {
        return `${this.options.workerId}-${this.restarts}`;
    }

    /** Tasks that are running or whose end is not acknowledged. */
    public get inventory(): readonly WorkerTask[] {
        return [...this.tasks.values()].map(entry => entry.task);
    }

    /** Sum of the resources of all running tasks. */
    public get committed(): Resources {
        let total = NO_RESOURCES;
        for (const entry of this.tasks.values()) {
            if (isRunning(entry)) {
                total = addResources(total, entry.task.resources);
            }
        }
        return total;
    }

    /** Marks the worker as leaving; it refuses new tasks. */
    public leave(): void {
        this.leaving = true;
    }

    /** Restarts the worker under a new incarnation: its tasks stop, and tasks, epoch and sequence are reset. */
    public restart(): void {
        for (const entry of this.tasks.values()) {
            this.end(entry, WorkerTaskState.Stopped);
        }
        this.tasks.clear();
        this.epoch = 0;
        this.sequence = 0;
        this.restarts++;
    }

    /** Checks epoch, incarnation and sequence of an exchange and executes its commands. */
    public exchange(exchange: WorkerExchange): Result<WorkerReply, WorkerError> {
        this.stopLapsedTasks();
        if (this.checks.epoch && exchange.epoch < this.epoch) {
            return err(this.refuse(WorkerRefusal.StaleEpoch));
        }
        if (exchange.incarnation !== undefined && exchange.incarnation !== this.incarnation) {
            return err(this.refuse(WorkerRefusal.WrongIncarnation));
        }
        if (exchange.incarnation === undefined && exchange.commands.length > 0) {
            return err(this.refuse(WorkerRefusal.WrongIncarnation));
        }
        if (exchange.incarnation !== undefined) {
            if (this.checks.sequence && exchange.epoch === this.epoch && exchange.sequence <= this.sequence) {
                return err(this.refuse(WorkerRefusal.StaleSequence));
            }
            this.epoch = exchange.epoch;
            this.sequence = exchange.sequence;
        }
        const ticketMs = exchange.ticketMs ?? 0;
        const results = exchange.commands.map(command => this.execute(command, ticketMs));
        return ok({
            incarnation: this.incarnation,
            epoch: this.epoch,
            ticketMs: this.timer.nowMs(),
            capacity: this.options.capacity,
            leaving: this.leaving,
            results,
            reports: [...this.tasks.values()].map(reportOf)
        });
    }

    private refuse(refusal: WorkerRefusal): WorkerError {
        return {
            refusal,
            epoch: this.epoch,
            incarnation: this.incarnation,
            replyLost: false,
            message: `Refused: ${refusal}.`
        };
    }

    private execute(command: WorkerCommand, ticketMs: number): WorkerRefusal | "ok" {
        switch (command.kind) {
            case WorkerCommandKind.Start:
                return this.start(command.task, ticketMs + command.leaseMs);
            case WorkerCommandKind.Renew:
                return this.renew(command.taskIds, ticketMs + command.leaseMs);
            case WorkerCommandKind.Stop:
                return this.updateRunning(command.taskId, entry => this.end(entry, WorkerTaskState.Stopped));
            case WorkerCommandKind.Throttle:
                return this.updateRunning(command.taskId, entry => {
                    entry.state = WorkerTaskState.Throttled;
                });
            case WorkerCommandKind.Checkpoint:
                return this.updateRunning(command.taskId, entry => {
                    entry.checkpoint = `checkpoint-of-${entry.task.taskId}`;
                });
            case WorkerCommandKind.Acknowledge:
                return this.acknowledge(command.taskIds);
        }
    }

    private start(task: WorkerTask, leaseEndMs: number): WorkerRefusal | "ok" {
        if (this.leaving) {
            return WorkerRefusal.Leaving;
        }
        if (this.checks.ticket && leaseEndMs <= this.timer.nowMs()) {
            return WorkerRefusal.StaleTicket;
        }
        if (this.tasks.has(task.taskId)) {
            return WorkerRefusal.DuplicateTask;
        }
        const free = subtractResources(this.options.capacity, this.committed);
        if (this.checks.capacity && !fitsInto(task.resources, free)) {
            return WorkerRefusal.OverCapacity;
        }
        const behavior = this.options.behaviorOf(task);
        const entry: TaskEntry = {
            task,
            epoch: this.epoch,
            state: WorkerTaskState.Running,
            leaseEndMs
        };
        this.tasks.set(task.taskId, entry);
        this.fireTaskEvent(entry);
        if (behavior.durationMs !== undefined) {
            entry.completionTimer = this.timer.after(behavior.durationMs, () => this.complete(entry, behavior));
        }
        return "ok";
    }

    private complete(entry: TaskEntry, behavior: TaskBehavior): void {
        if (!isRunning(entry) || this.tasks.get(entry.task.taskId) !== entry) {
            return;
        }
        if (this.checks.lease && this.timer.nowMs() >= entry.leaseEndMs) {
            this.end(entry, WorkerTaskState.LeaseLapsed);
            return;
        }
        entry.answer = behavior.fails ? undefined : behavior.answer;
        this.end(entry, behavior.fails ? WorkerTaskState.Failed : WorkerTaskState.Succeeded);
    }

    private renew(taskIds: readonly string[], leaseEndMs: number): "ok" {
        for (const taskId of taskIds) {
            const entry = this.tasks.get(taskId);
            if (entry && isRunning(entry)) {
                entry.leaseEndMs = Math.max(entry.leaseEndMs, leaseEndMs);
            }
        }
        return "ok";
    }

    private acknowledge(taskIds: readonly string[]): "ok" {
        for (const taskId of taskIds) {
            const entry = this.tasks.get(taskId);
            if (entry && !isRunning(entry)) {
                this.tasks.delete(taskId);
            }
        }
        return "ok";
    }

    private updateRunning(taskId: string, change: (entry: TaskEntry) => void): WorkerRefusal | "ok" {
        const entry = this.tasks.get(taskId);
        if (!entry || !isRunning(entry)) {
            return WorkerRefusal.UnknownTask;
        }
        change(entry);
        return "ok";
    }

    private stopLapsedTasks(): void {
        if (!this.checks.lease) {
            return;
        }
        for (const entry of this.tasks.values()) {
            if (isRunning(entry) && entry.leaseEndMs <= this.timer.nowMs()) {
                this.end(entry, WorkerTaskState.LeaseLapsed);
            }
        }
    }

    private end(entry: TaskEntry, state: WorkerTaskState): void {
        if (!isRunning(entry)) {
            return;
        }
        entry.state = state;
        entry.completionTimer?.dispose();
        this.fireTaskEvent(entry);
    }

    private fireTaskEvent(entry: TaskEntry): void {
        this.taskEventEmitter.fire({
            workerId: this.options.workerId,
            task: entry.task,
            epoch: entry.epoch,
            state: entry.state,
            atMs: this.timer.nowMs()
        });
    }
}

function isRunning(entry: TaskEntry): boolean {
    return entry.state === WorkerTaskState.Running || entry.state === WorkerTaskState.Throttled;
}

function reportOf(entry: TaskEntry): WorkerTaskReport {
    return {
        task: entry.task,
        state: entry.state,
        answer: entry.answer,
        checkpoint: entry.checkpoint,
        usage: isRunning(entry) ? entry.task.resources : undefined,
        epoch: entry.epoch
    };
}
