import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { addResources, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { WorkerReply } from "@skylarkpath/common/platform/WorkerService";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { type OwnershipConfirmation, type RefusedStart, WorkerSession } from "./WorkerSession.js";

/** Reply of one worker. */
export interface PoolReply {
    readonly session: WorkerSession;
    readonly reply: WorkerReply;
}

interface MissingWorker {
    readonly session: WorkerSession;
    readonly missingSinceMs: number;
}

/** Sessions with all workers of a slice; knows whether work of former epochs may start again. */
export class WorkerPool implements Disposable {
    private readonly store = new DisposableStore();
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly missing = new Map<string, MissingWorker>();
    private readonly replyEmitter = this.store.add(new Emitter<PoolReply>());
    private readonly changeEmitter = this.store.add(new Emitter<WorkerSession>());
    private readonly removedEmitter = this.store.add(new Emitter<string>());
    private readonly refusedEmitter = this.store.add(new Emitter<RefusedStart>());
    private readonly lapsedEmitter = this.store.add(new Emitter<readonly string[]>());
    private readonly staleEmitter = this.store.add(new Emitter<void>());
    private readonly holdReleasedEmitter = this.store.add(new Emitter<void>());
    private listedOnce = false;
    private holdReleased = false;
    private sequence = 0;

    /** Tells each reply of a worker. */
    public readonly onReply = this.replyEmitter.event;
    /** Tells each worker that may have become schedulable or unschedulable. */
    public readonly onChange = this.changeEmitter.event;
    /** Tells each worker that left the slice. */
    public readonly onRemoved = this.removedEmitter.event;
    /** Tells each start that did not take effect. */
    public readonly onRefusedStart = this.refusedEmitter.event;
    /** Tells tasks whose leases have lapsed. */
    public readonly onLapsed = this.lapsedEmitter.event;
    /** Tells that another owner has a higher epoch. */
    public readonly onStale = this.staleEmitter.event;
    /** Tells that tasks claimed under former epochs may start again. */
    public readonly onHoldReleased = this.holdReleasedEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly epoch: number,
        private readonly confirmOwnership: OwnershipConfirmation
    ) {}

    /** Tells whether tasks claimed under former epochs may start again. */
    public get isHoldReleased(): boolean {
        return this.holdReleased;
    }

    /** All sessions. */
    public get all(): readonly WorkerSession[] {
        return [...this.sessions.values()];
    }

    /** Finds the session of a worker. */
    public find(workerId: string): WorkerSession | undefined {
        return this.sessions.get(workerId);
    }

    /** Capacity of the workers that may still run work of former epochs. */
    public get unfencedCapacity(): Resources {
        return this.all
            .filter(session => !session.isFenced)
            .reduce((total, session) => addResources(total, session.capacity ?? NO_RESOURCES), NO_RESOURCES);
    }

    /** Takes in the live list: the workers of this slice. */
    public update(machines: readonly LiveMachine[]): void {
        const listed = new Set<string>();
        for (const machine of machines) {
            if (machine.role === MachineRole.Worker) {
                listed.add(machine.machineId);
                this.takeIn(machine);
            }
        }
        this.listedOnce = true;
        this.noteMissing(listed);
        this.removeGone();
        this.checkHold();
    }

    public dispose(): void {
        for (const session of this.sessions.values()) {
            session.dispose();
        }
        this.store.dispose();
    }

    private takeIn(machine: LiveMachine): void {
        this.missing.delete(machine.machineId);
        const known = this.sessions.get(machine.machineId);
        if (known) {
            known.update(machine);
            this.changeEmitter.fire(known);
            return;
        }
        const session = new WorkerSession(
            machine,
            this.epoch,
            this.environment.workers,
            this.environment.timer,
            this.options,
            this.confirmOwnership,
            () => ++this.sequence
        );
        this.sessions.set(machine.machineId, session);
        this.subscribe(session);
    }

    private subscribe(session: WorkerSession): void {
        session.onReply(reply => {
            this.changeEmitter.fire(session);
            this.replyEmitter.fire({ session, reply });
        });
        session.onFenced(() => {
            this.environment.log.write(EVENTS.workerFenced, { worker: session.workerId, epoch: this.epoch });
            this.changeEmitter.fire(session);
            void Promise.resolve().then(() => this.checkHold());
        });
        session.onRefusedStart(refused => {
            this.changeEmitter.fire(session);
            this.refusedEmitter.fire(refused);
        });
        session.onLapsed(taskIds => {
            this.environment.log.write(EVENTS.workerLost, { worker: session.workerId, tasks: taskIds.length });
            this.changeEmitter.fire(session);
            this.lapsedEmitter.fire(taskIds);
        });
        session.onStale(() => this.staleEmitter.fire());
    }

    private noteMissing(listed: ReadonlySet<string>): void {
        const nowMs = this.environment.timer.nowMs();
        for (const session of this.sessions.values()) {
            if (!listed.has(session.workerId) && !this.missing.has(session.workerId)) {
                this.missing.set(session.workerId, { session, missingSinceMs: nowMs });
            }
        }
    }

    /** Removes workers that have been missing for longer than the lag of the list and the longest lease. */
    private removeGone(): void {
        const leaseMs = this.options.taskLeaseMs * (1 + this.options.clockDriftFactor);
        const goneAfterMs = this.options.liveListLagMs + leaseMs;
        for (const [workerId, entry] of this.missing) {
            const isOverdue = this.environment.timer.nowMs() - entry.missingSinceMs >= goneAfterMs;
            if (isOverdue && entry.session.tryExpire()) {
                this.missing.delete(workerId);
                this.sessions.delete(workerId);
                entry.session.dispose();
                this.removedEmitter.fire(workerId);
            }
        }
    }

    private checkHold(): void {
        if (this.holdReleased || !this.listedOnce || this.all.some(session => !session.isFenced)) {
            return;
        }
        this.holdReleased = true;
        this.environment.log.write(EVENTS.holdReleased, { epoch: this.epoch });
        this.holdReleasedEmitter.fire();
    }
}
