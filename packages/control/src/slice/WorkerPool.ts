import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { addResources, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { WorkerReply } from "@skylarkpath/common/platform/WorkerService";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { OwnedSlice } from "./SliceController.js";
import { type CommandGate, type InheritedWorker, type RefusedStart, WorkerSession } from "./WorkerSession.js";

/** Reply of a worker, with its session. */
export interface WorkerPoolReply {
    readonly session: WorkerSession;
    readonly reply: WorkerReply;
}

interface MissingWorker {
    readonly session: WorkerSession;
    readonly missingSinceMs: number;
}

/**
 * Sessions with all workers of a slice. Releases the hold on work of earlier epochs once every worker is fenced, or
 * removed after its leases have lapsed.
 */
export class WorkerPool implements Disposable {
    private readonly store = new DisposableStore();
    private readonly sessions = new Map<string, WorkerSession>();
    private readonly missingWorkers = new Map<string, MissingWorker>();
    private readonly replyEmitter = this.store.add(new Emitter<WorkerPoolReply>());
    private readonly changeEmitter = this.store.add(new Emitter<WorkerSession>());
    private readonly removedEmitter = this.store.add(new Emitter<string>());
    private readonly refusedStartEmitter = this.store.add(new Emitter<RefusedStart>());
    private readonly leasesLapsedEmitter = this.store.add(new Emitter<readonly string[]>());
    private readonly supersededEmitter = this.store.add(new Emitter<void>());
    private readonly holdReleasedEmitter = this.store.add(new Emitter<void>());
    /** Time since which each worker that a previous owner has used has been missing from the live list. */
    private readonly unlistedSinceMs = new Map<string, number>();
    private hasLiveList = false;
    private holdReleased = false;
    private sequence = 0;

    /** Fires with each reply of a worker. */
    public readonly onReply = this.replyEmitter.event;
    /** Fires with the session of each worker that may have become schedulable or unschedulable. */
    public readonly onChange = this.changeEmitter.event;
    /** Fires with the id of each worker that was removed. */
    public readonly onRemoved = this.removedEmitter.event;
    /** Fires with each start that did not take effect. */
    public readonly onRefusedStart = this.refusedStartEmitter.event;
    /** Fires with the ids of tasks whose leases have lapsed. */
    public readonly onLeasesLapsed = this.leasesLapsedEmitter.event;
    /** Fires when a worker has seen a higher epoch. */
    public readonly onSuperseded = this.supersededEmitter.event;
    /** Fires when tasks claimed in earlier epochs may start again. */
    public readonly onHoldReleased = this.holdReleasedEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly slice: OwnedSlice,
        private readonly gate: CommandGate
    ) {
        this.holdReleased = slice.handover?.holdReleased ?? false;
        for (const workerId of slice.recordedWorkers) {
            this.unlistedSinceMs.set(workerId, environment.timer.nowMs());
        }
    }

    /** Whether tasks claimed in earlier epochs may start again. */
    public get isHoldReleased(): boolean {
        return this.holdReleased;
    }

    /** All sessions. */
    public get all(): readonly WorkerSession[] {
        return [...this.sessions.values()];
    }

    /** Returns the session of a worker. */
    public find(workerId: string): WorkerSession | undefined {
        return this.sessions.get(workerId);
    }

    /**
     * Earliest of the workers' last acknowledgement times. At that time no worker was fenced in a later epoch yet; a
     * new owner begins by fencing one.
     */
    public get oldestAcknowledgementMs(): number {
        const times = this.all.map(session => session.lastAcknowledgedMs);
        return times.length > 0 ? Math.min(...times) : -Infinity;
    }

    /** Whether no exchange with a worker is in progress. */
    public get isIdle(): boolean {
        return this.all.every(session => !session.isBusy);
    }

    /**
     * Capacity of the workers that may still run work of earlier epochs; a worker that is not on the live list counts
     * as the largest known one.
     */
    public get unfencedCapacity(): Resources {
        const listed = this.all
            .filter(session => !session.isFenced)
            .reduce((total, session) => addResources(total, session.capacity ?? NO_RESOURCES), NO_RESOURCES);
        const largestWorker = this.all.reduce((most, { capacity }) => maxResources(most, capacity), NO_RESOURCES);
        return [...this.unlistedSinceMs].reduce(total => addResources(total, largestWorker), listed);
    }

    /** Updates the workers from the live list. */
    public update(machines: readonly LiveMachine[]): void {
        const listed = new Set<string>();
        for (const machine of machines) {
            if (machine.role === MachineRole.Worker) {
                listed.add(machine.machineId);
                this.updateWorker(machine);
            }
        }
        this.hasLiveList = true;
        this.updateMissing(listed);
        this.removeGone();
        this.removeUnlisted();
        this.releaseHoldIfFenced();
    }

    public dispose(): void {
        for (const session of this.sessions.values()) {
            session.dispose();
        }
        this.store.dispose();
    }

    private updateWorker(machine: LiveMachine): void {
        this.missingWorkers.delete(machine.machineId);
        this.unlistedSinceMs.delete(machine.machineId);
        const known = this.sessions.get(machine.machineId);
        if (known) {
            known.update(machine);
            this.changeEmitter.fire(known);
            return;
        }
        const session = new WorkerSession(
            machine,
            this.slice.epoch,
            this.environment.workers,
            this.environment.timer,
            this.options,
            this.slice.confirmOwnership,
            () => ++this.sequence,
            this.gate,
            this.inheritedWorker(machine.machineId)
        );
        this.sessions.set(machine.machineId, session);
        this.subscribe(session);
    }

    private inheritedWorker(workerId: string): InheritedWorker {
        const { handover } = this.slice;
        const worker = handover?.workers.find(candidate => candidate.workerId === workerId);
        return { incarnation: worker?.incarnation, taskIds: this.inheritedTasks(workerId) };
    }

    private inheritedTasks(workerId: string): readonly string[] {
        const placements = this.slice.handover?.placements ?? [];
        return placements.filter(placed => placed.workerId === workerId).map(placed => placed.taskId);
    }

    private subscribe(session: WorkerSession): void {
        session.onReply(reply => {
            this.changeEmitter.fire(session);
            this.replyEmitter.fire({ session, reply });
        });
        session.onFenced(() => {
            this.environment.log.write(EVENTS.workerFenced, { worker: session.workerId, epoch: this.slice.epoch });
            this.changeEmitter.fire(session);
            void Promise.resolve().then(() => this.releaseHoldIfFenced());
        });
        session.onRefusedStart(refused => {
            this.changeEmitter.fire(session);
            this.refusedStartEmitter.fire(refused);
        });
        session.onLeasesLapsed(taskIds => {
            this.environment.log.write(EVENTS.workerLost, { worker: session.workerId, tasks: taskIds.length });
            this.changeEmitter.fire(session);
            this.leasesLapsedEmitter.fire(taskIds);
        });
        session.onSuperseded(() => this.supersededEmitter.fire());
    }

    private updateMissing(listed: ReadonlySet<string>): void {
        const nowMs = this.environment.timer.nowMs();
        for (const session of this.sessions.values()) {
            if (!listed.has(session.workerId) && !this.missingWorkers.has(session.workerId)) {
                this.missingWorkers.set(session.workerId, { session, missingSinceMs: nowMs });
            }
        }
    }

    /** Removes workers that have been off the live list for longer than its maximum lag plus the longest lease. */
    private removeGone(): void {
        for (const [workerId, entry] of this.missingWorkers) {
            const isOverdue = this.environment.timer.nowMs() - entry.missingSinceMs >= this.removeAfterMs;
            if (isOverdue && entry.session.tryExpire()) {
                this.missingWorkers.delete(workerId);
                this.sessions.delete(workerId);
                entry.session.dispose();
                this.slice.removeWorker(workerId);
                this.removedEmitter.fire(workerId);
            }
        }
    }

    private removeUnlisted(): void {
        for (const [workerId, sinceMs] of this.unlistedSinceMs) {
            if (this.environment.timer.nowMs() - sinceMs >= this.removeAfterMs) {
                this.unlistedSinceMs.delete(workerId);
                this.slice.removeWorker(workerId);
                this.leasesLapsedEmitter.fire(this.inheritedTasks(workerId));
            }
        }
    }

    private get removeAfterMs(): number {
        return this.options.liveListLagMs + this.options.taskLeaseMs * (1 + this.options.clockDriftFactor);
    }

    private releaseHoldIfFenced(): void {
        const someUnlisted = this.unlistedSinceMs.size > 0;
        if (this.holdReleased || !this.hasLiveList || someUnlisted || this.all.some(session => !session.isFenced)) {
            return;
        }
        this.holdReleased = true;
        this.environment.log.write(EVENTS.holdReleased, { epoch: this.slice.epoch });
        this.holdReleasedEmitter.fire();
    }
}

function maxResources(left: Resources, right: Resources | undefined): Resources {
    return {
        processorMillicores: Math.max(left.processorMillicores, right?.processorMillicores ?? 0),
        memoryBytes: Math.max(left.memoryBytes, right?.memoryBytes ?? 0),
        accelerators: Math.max(left.accelerators, right?.accelerators ?? 0)
    };
}
