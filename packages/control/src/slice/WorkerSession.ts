import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { Resources } from "@skylarkpath/common/model/Resources";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import {
    type WorkerCommand,
    WorkerCommandKind,
    type WorkerError,
    WorkerRefusal,
    type WorkerReply,
    type WorkerService,
    type WorkerTask
} from "@skylarkpath/common/platform/WorkerService";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { Result } from "neverthrow";
import { Confirmation } from "./SliceClaim.js";

/** Timing options of a worker session. */
export interface WorkerSessionOptions {
    readonly taskLeaseMs: number;
    readonly workerExchangeIntervalMs: number;
    readonly clockDriftFactor: number;
}

/** Start of a task that did not take effect. */
export interface RefusedStart {
    readonly taskId: string;
    /** Undefined when the worker gave no reason: the call failed, or the worker does not report the task. */
    readonly refusal?: WorkerRefusal;
}

/**
 * Checks whether this process still owns the slice, by reads that begin after the call. If a worker is given, it is
 * recorded as used by the slice.
 */
export type OwnershipConfirmation = (workerId?: string) => Promise<Confirmation>;

/** Exposes whether this process may send commands to workers and look-ups to targets now. */
export interface CommandGate {
    readonly mayCommand: boolean;
}

/** State of a worker as handed over by the previous owner. */
export interface InheritedWorker {
    /** Undefined when the previous owner had not fenced the worker or had an exchange with it in progress. */
    readonly incarnation?: string;
    /** Ids of the tasks that run or may run there. */
    readonly taskIds: readonly string[];
}

interface Ticket {
    readonly workerTimeMs: number;
    readonly receivedMs: number;
}

/**
 * Session with one worker in one epoch: fences the worker, sends commands, renews task leases and reads the worker's
 * inventory.
 */
export class WorkerSession implements Disposable {
    private readonly store = new DisposableStore();
    private readonly replyEmitter = this.store.add(new Emitter<WorkerReply>());
    private readonly fencedEmitter = this.store.add(new Emitter<void>());
    private readonly refusedStartEmitter = this.store.add(new Emitter<RefusedStart>());
    private readonly leasesLapsedEmitter = this.store.add(new Emitter<readonly string[]>());
    private readonly supersededEmitter = this.store.add(new Emitter<void>());
    /** Ids of the tasks that run or may run on the worker. */
    private readonly tasks = new Set<string>();
    /** Ids of tasks whose start was sent or inherited without a reply that confirms it. */
    private readonly uncertainStarts = new Set<string>();
    private commandQueue: WorkerCommand[] = [];
    private incarnation: string | undefined;
    private ticket: Ticket | undefined;
    private leasesEndMs: number;
    private exchangeInFlight = false;
    private fenced = false;
    private disposed = false;
    private isUnreachable = false;
    private acknowledgedAtMs = -Infinity;

    /** Fires with each reply, which contains the worker's inventory. */
    public readonly onReply = this.replyEmitter.event;
    /** Fires when the worker has been fenced: it no longer accepts commands of earlier epochs. */
    public readonly onFenced = this.fencedEmitter.event;
    /** Fires with each start that did not take effect. */
    public readonly onRefusedStart = this.refusedStartEmitter.event;
    /**
     * Fires with the ids of the tasks of an unreachable worker whose leases have certainly lapsed, or of a restarted
     * worker.
     */
    public readonly onLeasesLapsed = this.leasesLapsedEmitter.event;
    /** Fires when the worker has seen a higher epoch. */
    public readonly onSuperseded = this.supersededEmitter.event;

    constructor(
        private machine: LiveMachine,
        private readonly epoch: number,
        private readonly workers: WorkerService,
        private readonly timer: TimerService,
        private readonly options: WorkerSessionOptions,
        private readonly confirmOwnership: OwnershipConfirmation,
        private readonly nextSequence: () => number,
        private readonly gate: CommandGate,
        inherited?: InheritedWorker
    ) {
        this.leasesEndMs = timer.nowMs() + this.maxLeaseMs;
        this.incarnation = inherited?.incarnation;
        for (const taskId of inherited?.taskIds ?? []) {
            this.tasks.add(taskId);
            this.uncertainStarts.add(taskId);
        }
        this.store.add(timer.every(options.workerExchangeIntervalMs, () => this.startExchange()));
        this.scheduleExchange();
    }

    /** Id of the worker. */
    public get workerId(): string {
        return this.machine.machineId;
    }

    /** Rack of the worker. */
    public get rack(): string {
        return this.machine.rack;
    }

    /** Whether the worker has been fenced: it no longer accepts commands of earlier epochs. */
    public get isFenced(): boolean {
        return this.fenced;
    }

    /** Whether new tasks may start on the worker. */
    public get isSchedulable(): boolean {
        return this.fenced && !this.isUnreachable && !this.machine.leaving;
    }

    /** Incarnation of the worker that has been fenced, if any. */
    public get fencedIncarnation(): string | undefined {
        return this.fenced ? this.incarnation : undefined;
    }

    /** Whether an exchange is in progress. */
    public get isBusy(): boolean {
        return this.exchangeInFlight;
    }

    /** Time at which the last exchange was sent that the worker has served in this epoch. */
    public get lastAcknowledgedMs(): number {
        return this.acknowledgedAtMs;
    }

    /** Resources of the worker according to the live list. */
    public get capacity(): Resources | undefined {
        return this.machine.capacity;
    }

    /** Time by which all leases granted in earlier epochs or by this session have lapsed, if none is renewed. */
    public get leasesLapseAtMs(): number {
        return this.leasesEndMs;
    }

    /** Updates the worker's entry from the live list. */
    public update(machine: LiveMachine): void {
        this.machine = machine;
    }

    /** Tracks a task as running on the worker, so that its lease is renewed. */
    public track(taskId: string): void {
        this.tasks.add(taskId);
    }

    /** Returns whether the task is tracked as running on the worker. */
    public tracks(taskId: string): boolean {
        return this.tasks.has(taskId);
    }

    /** Stops tracking a task and renewing its lease. */
    public release(taskId: string): void {
        this.tasks.delete(taskId);
        this.uncertainStarts.delete(taskId);
    }

    /** Queues the start of a task. */
    public start(task: WorkerTask): void {
        this.tasks.add(task.taskId);
        this.commandQueue.push({ kind: WorkerCommandKind.Start, task, leaseMs: this.options.taskLeaseMs });
        this.scheduleExchange();
    }

    /** Queues a command other than a start. */
    public send(command: WorkerCommand): void {
        this.commandQueue.push(command);
        this.scheduleExchange();
    }

    /** Expires all tasks when the worker is unreachable and all leases have lapsed; otherwise returns false. */
    public tryExpire(): boolean {
        if (!this.isUnreachable || this.timer.nowMs() < this.leasesEndMs) {
            return false;
        }
        this.expireTasks();
        return true;
    }

    public dispose(): void {
        this.disposed = true;
        this.store.dispose();
    }

    private get maxLeaseMs(): number {
        return this.options.taskLeaseMs * (1 + this.options.clockDriftFactor);
    }

    private scheduleExchange(): void {
        if (!this.exchangeInFlight) {
            void Promise.resolve().then(() => this.startExchange());
        }
    }

    private startExchange(): void {
        if (!this.exchangeInFlight && !this.disposed && this.gate.mayCommand) {
            this.exchangeInFlight = true;
            void this.exchange().finally(() => {
                this.exchangeInFlight = false;
                if (this.commandQueue.length > 0 && this.fenced && !this.isUnreachable) {
                    this.scheduleExchange();
                }
            });
        }
    }

    private async exchange(): Promise<void> {
        this.expireTasksIfLapsed();
        if (this.incarnation === undefined && !(await this.fetchIncarnation())) {
            return;
        }
        if (!this.gate.mayCommand) {
            return;
        }
        const commands = this.ticket ? this.dequeueCommands() : [];
        const sentMs = this.timer.nowMs();
        const result = await this.workers.exchange(this.machine.address, {
            epoch: this.epoch,
            incarnation: this.incarnation,
            sequence: this.nextSequence(),
            ticketMs: this.ticket?.workerTimeMs,
            commands
        });
        if (this.disposed) {
            return;
        }
        if (result.isErr()) {
            this.handleFailure(result.error, commands);
        }
        else {
            this.acknowledgedAtMs = sentMs;
            this.handleReply(result.value, commands);
        }
    }

    private async fetchIncarnation(): Promise<boolean> {
        const result: Result<WorkerReply, WorkerError> = await this.workers.exchange(this.machine.address, {
            epoch: this.epoch,
            sequence: 0,
            commands: []
        });
        if (this.disposed) {
            return false;
        }
        if (result.isErr()) {
            this.handleFailure(result.error, []);
            return false;
        }
        const confirmation = await this.confirmOwnership(this.workerId);
        if (confirmation !== Confirmation.Owner || this.disposed) {
            return false;
        }
        this.incarnation = result.value.incarnation;
        this.storeTicket(result.value);
        return true;
    }

    private dequeueCommands(): readonly WorkerCommand[] {
        const renewal: WorkerCommand = {
            kind: WorkerCommandKind.Renew,
            taskIds: [...this.tasks],
            leaseMs: this.options.taskLeaseMs
        };
        const commands = this.tasks.size > 0 ? [renewal, ...this.commandQueue] : this.commandQueue;
        this.commandQueue = [];
        return commands;
    }

    private storeTicket(reply: WorkerReply): void {
        this.ticket = { workerTimeMs: reply.ticketMs, receivedMs: this.timer.nowMs() };
        this.leasesEndMs = Math.max(this.leasesEndMs, this.ticket.receivedMs + this.maxLeaseMs);
        this.isUnreachable = false;
    }

    private handleReply(reply: WorkerReply, commands: readonly WorkerCommand[]): void {
        this.storeTicket(reply);
        const wasFenced = this.fenced;
        this.fenced = true;
        if (reply.leaving) {
            this.machine = { ...this.machine, leaving: true };
        }
        this.resolveUncertain(reply);
        commands.forEach((command, index) => this.handleResult(command, reply.results[index]));
        if (!wasFenced) {
            this.fencedEmitter.fire();
        }
        this.replyEmitter.fire(reply);
    }

    private handleResult(command: WorkerCommand, result: WorkerRefusal | "ok" | undefined): void {
        if (command.kind === WorkerCommandKind.Start && result !== "ok" && result !== undefined) {
            this.release(command.task.taskId);
            this.refusedStartEmitter.fire({ taskId: command.task.taskId, refusal: result });
        }
    }

    private resolveUncertain(reply: WorkerReply): void {
        const reported = new Set(reply.reports.map(report => report.task.taskId));
        for (const taskId of [...this.uncertainStarts]) {
            this.uncertainStarts.delete(taskId);
            if (!reported.has(taskId)) {
                this.tasks.delete(taskId);
                this.refusedStartEmitter.fire({ taskId });
            }
        }
    }

    private handleFailure(error: WorkerError, commands: readonly WorkerCommand[]): void {
        if (error.refusal === WorkerRefusal.StaleEpoch) {
            this.supersededEmitter.fire();
            return;
        }
        if (error.refusal === WorkerRefusal.WrongIncarnation) {
            this.resetIncarnation();
            return;
        }
        this.isUnreachable = true;
        for (const command of commands) {
            this.handleUnanswered(command, error.replyLost);
        }
    }

    private handleUnanswered(command: WorkerCommand, replyLost: boolean): void {
        if (command.kind === WorkerCommandKind.Start) {
            if (replyLost) {
                this.uncertainStarts.add(command.task.taskId);
                return;
            }
            this.release(command.task.taskId);
            this.refusedStartEmitter.fire({ taskId: command.task.taskId });
        }
        else if (command.kind !== WorkerCommandKind.Renew) {
            this.commandQueue.push(command);
        }
    }

    /** Called when the worker has restarted, so that every task on it has ended. */
    private resetIncarnation(): void {
        this.incarnation = undefined;
        this.fenced = false;
        this.commandQueue = [];
        this.expireTasks();
    }

    private expireTasksIfLapsed(): void {
        if (this.isUnreachable && this.timer.nowMs() >= this.leasesEndMs) {
            this.expireTasks();
        }
    }

    private expireTasks(): void {
        const taskIds = [...this.tasks];
        this.tasks.clear();
        this.uncertainStarts.clear();
        this.commandQueue = this.commandQueue.filter(command => command.kind !== WorkerCommandKind.Start);
        if (taskIds.length > 0) {
            this.leasesLapsedEmitter.fire(taskIds);
        }
    }
}
