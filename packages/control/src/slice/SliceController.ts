import type { SliceStatus } from "@skylarkpath/common/api/OperatorsApi";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { ClusterConfig } from "@skylarkpath/common/model/ClusterConfig";
import { subtractResources } from "@skylarkpath/common/model/Resources";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { WorkerCommandKind } from "@skylarkpath/common/platform/WorkerService";
import {
    type Decision,
    DecisionKind,
    TaskEnd,
    type TaskScheduler,
    type TeamPolicy
} from "@skylarkpath/common/scheduling/TaskScheduler";
import type { SlicePolicies } from "../limits/AllotmentController.js";
import type { PauseDetector } from "../process/PauseDetector.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import { ownerNameOf } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { FencingConditions, RequestStore } from "../store/RequestStore.js";
import { GrantWindow } from "./GrantWindow.js";
import { JobController } from "./JobController.js";
import type { JobDescription } from "./JobDescription.js";
import { LookupController } from "./LookupController.js";
import { LookupForwarder } from "./LookupForwarder.js";
import { type EntryLivenessCheck, OrphanLookupResolver } from "./OrphanLookupResolver.js";
import { Placements } from "./Placements.js";
import { ServiceController, type ServiceCounts } from "./ServiceController.js";
import { Confirmation } from "./SliceClaim.js";
import type { SliceHandover } from "./SliceHandover.js";
import { SliceTransfer } from "./SliceTransfer.js";
import { StartRecorder } from "./StartRecorder.js";
import { TaskReportHandler } from "./TaskReportHandler.js";
import { TaskStarter } from "./TaskStarter.js";
import { WorkerPool } from "./WorkerPool.js";
import type { OwnershipConfirmation, WorkerSession } from "./WorkerSession.js";

/** Slice that this process owns. */
export interface OwnedSlice {
    readonly sliceId: string;
    readonly failureDomain: string;
    readonly epoch: number;
    /** State handed over by the previous owner; absent when that owner has died. */
    readonly handover?: SliceHandover;
    /** Workers that previous owners have used. */
    readonly recordedWorkers: readonly string[];
    readonly guard: FencingConditions;
    readonly confirmOwnership: OwnershipConfirmation;
    /** Start time of the last successful confirmation. */
    readonly lastConfirmedMs: () => number;
    /** Removes a worker that is gone from the row of the slice. */
    readonly removeWorker: (workerId: string) => void;
}

const COMMAND_KINDS = {
    [DecisionKind.Throttle]: WorkerCommandKind.Throttle,
    [DecisionKind.Checkpoint]: WorkerCommandKind.Checkpoint
} as const;
const DECISION_INTERVAL_MS = 100;
const CHECKPOINT_INTERVAL_MS = 30_000;
const LOAD_RETRY_MS = 500;

/** Controls one owned slice: makes all decisions about its workers, targets, jobs and services. */
export class SliceController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly supersededEmitter = this.store.add(new Emitter<void>());
    private readonly requestFinishedEmitter = this.store.add(new Emitter<string>());
    private readonly scheduler: TaskScheduler;
    private readonly pool: WorkerPool;
    private readonly jobs: JobController;
    private readonly services: ServiceController;
    /** Worker of each task that runs or may run. */
    private readonly placements = new Placements();
    private readonly reports: TaskReportHandler;
    private readonly taskStarter: TaskStarter;
    private readonly orphanedLookups: OrphanLookupResolver;
    private readonly grants: GrantWindow;
    private readonly transfer: SliceTransfer;
    private policies: SlicePolicies = new Map();
    private decisionPending = false;
    private disposed = false;
    /** True from the end of a pause of this process until ownership has been checked again. */
    private suspended = false;
    private handingOver = false;

    /** Sends look-ups to targets. */
    public readonly forwarder: LookupForwarder;
    /** Grants target slots to look-ups. */
    public readonly lookups: LookupController;
    /** Fires when another owner with a higher epoch is found. */
    public readonly onSuperseded = this.supersededEmitter.event;
    /** Fires with the id of each request whose outcome is committed. */
    public readonly onRequestFinished = this.requestFinishedEmitter.event;

    constructor(
        public readonly slice: OwnedSlice,
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        requests: RequestStore,
        activeInAllSlices: ServiceCounts,
        isEntryAlive: EntryLivenessCheck,
        private readonly pauses: PauseDetector
    ) {
        this.scheduler = environment.schedulers.createTaskScheduler(environment.random);
        this.pool = this.store.add(new WorkerPool(environment, options, slice, this));
        this.jobs = this.store.add(
            new JobController(
                slice.sliceId,
                slice.epoch,
                environment,
                options,
                requests,
                this.scheduler,
                slice.guard,
                this.placements,
                taskId => this.stopTask(taskId)
            )
        );
        this.services = this.store.add(
            new ServiceController(
                slice.failureDomain,
                this.scheduler,
                activeInAllSlices,
                text => environment.hasher.hash(text)
            )
        );
        this.reports = this.store.add(
            new TaskReportHandler(environment, this.scheduler, this.placements, this.jobs, this.services)
        );
        this.taskStarter = new TaskStarter(
            environment,
            this.scheduler,
            this.pool,
            this.placements,
            this.jobs,
            this.services,
            this.reports,
            new StartRecorder(slice.sliceId, requests, slice.guard),
            () => this.mayCommand
        );
        const lookupScheduler = environment.schedulers.createLookupScheduler(environment.random);
        this.lookups = this.store.add(
            new LookupController(environment, options, lookupScheduler, () => this.mayCommand && this.grants.isOpen)
        );
        this.forwarder = new LookupForwarder(environment, this.lookups, () => this.mayCommand);
        this.grants = this.store.add(new GrantWindow(environment.timer, options, slice, this.pool, this.lookups));
        this.transfer = new SliceTransfer(
            environment.timer,
            this.pool,
            this.placements,
            this.jobs,
            this.services,
            this.lookups
        );
        this.orphanedLookups = this.store.add(
            new OrphanLookupResolver(environment, requests, slice.guard, isEntryAlive, id => this.lookups.addressOf(id))
        );
        this.subscribe();
    }

    /** Number of active replicas by service: running or starting, and not being stopped. */
    public get activeReplicas(): Readonly<Record<string, number>> {
        return this.services.activeCounts;
    }

    /** Whether this process may send commands to workers and look-ups to targets now. */
    public get mayCommand(): boolean {
        this.pauses.check();
        return !this.disposed && !this.suspended && !this.handingOver;
    }

    /** Adopts a handed-over state, if any, loads the open requests and starts making decisions. */
    public start(): void {
        if (this.slice.handover) {
            this.transfer.adopt(this.slice.handover);
            this.releaseHold();
        }
        this.store.add(this.environment.timer.every(DECISION_INTERVAL_MS, () => this.decide()));
        this.store.add(this.environment.timer.every(this.options.reloadIntervalMs, () => this.reload()));
        this.store.add(this.environment.timer.every(CHECKPOINT_INTERVAL_MS, () => this.checkpointTasks()));
        void this.load();
    }

    /** Stops sending commands and returns the state of the slice for its next owner. */
    public handOver(): Promise<SliceHandover> {
        this.handingOver = true;
        return this.transfer.collect();
    }

    /** Updates the workers and targets of the slice from the live list. */
    public updateMachines(machines: readonly LiveMachine[]): void {
        this.pool.update(machines);
        this.lookups.update(machines);
        this.grants.update();
    }

    /** Applies a new version of the configuration. */
    public updateConfig(config: ClusterConfig): void {
        this.services.update(config);
        this.decideSoon();
    }

    /** Applies the shares and allotments of the teams. */
    public updatePolicies(policies: SlicePolicies): void {
        this.policies = policies;
        this.lookups.setPolicies(policies);
        this.applyPolicies();
    }

    /** Adds a committed request; resolves with false when it could not be added, and always during a handover. */
    public submit(requestId: string): Promise<boolean> {
        return this.handingOver ? Promise.resolve(false) : this.jobs.submit(requestId);
    }

    /** Describes a request that is open here or ended recently. */
    public describe(requestId: string): JobDescription | undefined {
        return this.jobs.describe(requestId);
    }

    /** Cancels a request; returns false when it is not open here or the slice is being handed over. */
    public cancel(requestId: string): boolean {
        return !this.handingOver && this.jobs.cancel(requestId);
    }

    /** Whether all open requests of the slice are loaded. */
    public get isLoaded(): boolean {
        return this.jobs.isLoaded;
    }

    /** Returns the state of the slice for operators. */
    public status(): SliceStatus {
        const sessions = this.pool.all;
        return {
            sliceId: this.slice.sliceId,
            owner: ownerNameOf(this.environment.identity),
            epoch: this.slice.epoch,
            workers: sessions.length,
            fencedWorkers: sessions.filter(session => session.isFenced).length,
            runningTasks: this.placements.size,
            waitingGroups: this.jobs.openCount,
            heldRequests: this.jobs.heldCount,
            teams: [...this.policies.keys()].map(team => ({
                team,
                running: this.scheduler.usage(team),
                slotsInUse: this.lookups.slotsInUse(team),
                waitingGroups: 0
            })),
            services: this.services.activeCounts
        };
    }

    public dispose(): void {
        this.disposed = true;
        this.store.dispose();
    }

    /** Sends no commands after a pause until ownership is checked again: another process may have taken over. */
    private async suspend(): Promise<void> {
        this.suspended = true;
        this.environment.log.write(EVENTS.processPaused, { slice: this.slice.sliceId });
        const confirmation = await this.slice.confirmOwnership();
        if (confirmation !== Confirmation.Superseded) {
            this.suspended = false;
            this.decideSoon();
        }
    }

    private subscribe(): void {
        this.store.add(this.pauses.onPause(() => void this.suspend()));
        this.store.add(this.pool.onReply(reply => this.reports.handleReply(reply)));
        this.store.add(this.pool.onChange(session => this.updateWorker(session)));
        this.store.add(this.pool.onRemoved(workerId => this.scheduler.removeWorker(workerId)));
        this.store.add(this.pool.onRefusedStart(refused => this.taskStarter.handleRefusedStart(refused)));
        this.store.add(
            this.pool.onLeasesLapsed(taskIds =>
                taskIds.forEach(taskId => this.reports.endTask(taskId, TaskEnd.Requeued, true))
            )
        );
        this.store.add(this.services.onSurplus(taskIds => taskIds.forEach(taskId => this.stopTask(taskId))));
        this.store.add(this.pool.onSuperseded(() => this.supersededEmitter.fire()));
        this.store.add(this.pool.onHoldReleased(() => this.releaseHold()));
        this.store.add(this.reports.onChange(() => this.decideSoon()));
        this.store.add(this.jobs.onChange(() => this.decideSoon()));
        this.store.add(this.jobs.onNonIdempotentLookups(open => this.orphanedLookups.update(open)));
        this.store.add(this.jobs.onConflict(() => void this.slice.confirmOwnership()));
        this.store.add(this.jobs.onSuperseded(() => this.supersededEmitter.fire()));
        this.store.add(this.jobs.onFinished(requestId => this.requestFinishedEmitter.fire(requestId)));
    }

    private async load(): Promise<void> {
        while (!this.disposed && !(await this.jobs.load())) {
            await new Promise<void>(resolve => this.environment.timer.after(LOAD_RETRY_MS, resolve));
        }
        this.releaseHold();
    }

    private reload(): void {
        this.jobs.retryOutcomeCommits();
        void this.jobs.load();
    }

    /** Allows work of earlier epochs to start again once all open requests are loaded and the hold is released. */
    private releaseHold(): void {
        if (!this.disposed && this.pool.isHoldReleased && this.jobs.isLoaded) {
            this.jobs.releaseHold();
            this.services.releaseHold();
            this.decideSoon();
        }
    }

    private updateWorker(session: WorkerSession): void {
        if (session.capacity) {
            this.scheduler.upsertWorker({
                workerId: session.workerId,
                rack: session.rack,
                capacity: session.capacity,
                schedulable: session.isSchedulable
            });
        }
        this.grants.update();
        this.applyPolicies();
        this.decideSoon();
    }

    /** Subtracts unfenced workers from every team's allotment: they may still be running tasks of any team. */
    private applyPolicies(): void {
        const unfenced = this.pool.unfencedCapacity;
        const teams = [...this.policies].map(([team, policy]): readonly [string, TeamPolicy] => {
            const resources = subtractResources(policy.allotment.resources, unfenced);
            return [team, { ...policy, allotment: { ...policy.allotment, resources } }];
        });
        this.scheduler.setTeams(new Map(teams));
    }

    private decideSoon(): void {
        if (!this.decisionPending && !this.disposed) {
            this.decisionPending = true;
            void Promise.resolve().then(() => {
                this.decisionPending = false;
                this.decide();
            });
        }
    }

    private decide(): void {
        if (!this.mayCommand) {
            return;
        }
        const nowMs = this.environment.timer.nowMs();
        this.services.submitReady(nowMs);
        for (const decision of this.scheduler.decide(nowMs)) {
            this.execute(decision);
        }
        if (this.scheduler.hasMore?.()) {
            this.environment.timer.after(0, () => this.decideSoon());
        }
    }

    private execute(decision: Decision): void {
        switch (decision.kind) {
            case DecisionKind.Start:
                this.taskStarter.start(decision.taskId, decision.groupId, decision.workerId);
                break;
            case DecisionKind.Stop:
                this.stopTask(decision.taskId);
                break;
            case DecisionKind.Throttle:
            case DecisionKind.Checkpoint: {
                const kind = COMMAND_KINDS[decision.kind];
                this.pool.find(decision.workerId)?.send({ kind, taskId: decision.taskId });
                break;
            }
            case DecisionKind.Reject:
                this.jobs.reject(decision.groupId, decision.reason);
                break;
        }
    }

    /** Requests checkpoints at a fixed interval, so that a task lost with its worker resumes from the latest one. */
    private checkpointTasks(): void {
        if (!this.mayCommand) {
            return;
        }
        for (const { taskId, groupId, workerId } of this.placements.all) {
            if (this.jobs.find(groupId)?.sizing.checkpointable) {
                this.pool.find(workerId)?.send({ kind: WorkerCommandKind.Checkpoint, taskId });
            }
        }
    }

    private stopTask(taskId: string): void {
        const placement = this.placements.find(taskId);
        if (placement) {
            this.pool.find(placement.workerId)?.send({ kind: WorkerCommandKind.Stop, taskId });
        }
    }
}
