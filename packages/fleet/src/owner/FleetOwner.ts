import { describeError } from "@skylarkpath/common/base/describeError";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { ConfigDirectory } from "../config/ConfigDirectory.js";
import { TableFollower } from "../config/TableFollower.js";
import { WorkerDirectory } from "../config/WorkerDirectory.js";
import { JobPhase } from "../model/JobSpec.js";
import type { KnownWorker, SuccessionSource } from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable, parseIntakeKey } from "../model/Tables.js";
import type { EntryReport, JobAnswer, JobQuery, OwnerService, WatchReply, WatchRequest } from "../ports/OwnerClient.js";
import { type PlacementPreview, PreviewFailure, type PreviewQuery } from "../ports/PlacementPreview.js";
import type { WorkerEntry } from "../ports/WorkerClient.js";
import { RunPredictions } from "../prediction/RunPredictions.js";
import { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";
import { CapacityFreshness } from "./CapacityFreshness.js";
import { describeEndedJob } from "./describeEndedJob.js";
import { Dispatcher } from "./Dispatcher.js";
import { EntryWatchers, type WatchingEntry } from "./EntryWatchers.js";
import { EvacuationTracker } from "./EvacuationTracker.js";
import type { FencedStore } from "./FencedStore.js";
import { IntakeReader } from "./IntakeReader.js";
import { readKnownWorkers } from "./KnownWorkerRows.js";
import { OccurrenceOpener } from "./OccurrenceOpener.js";
import type { OwnerDependencies } from "./OwnerDependencies.js";
import { PermitRequester } from "./PermitRequester.js";
import { PlanningLoop } from "./PlanningLoop.js";
import { ProgressWriter } from "./ProgressWriter.js";
import { RunTracker } from "./RunTracker.js";
import { StartWindow } from "./StartWindow.js";
import { StatusReporter } from "./StatusReporter.js";
import { WorkerRegistry } from "./WorkerRegistry.js";

/** State in which a new owner takes over the fleet. */
export interface Takeover {
    /** Version of the store at the takeover; zero when the fleet had no owner before. */
    readonly version: number;
    /** Workers in the row of the previous owner; undefined when it has written them to rows of their own. */
    readonly workers: readonly KnownWorker[] | undefined;
    /** The previous owner sends no more orders. */
    readonly previousStopped: boolean;
    /** Longest time for which leases of the previous owner may keep tasks running that this owner does not know of. */
    readonly unknownLeaseMs: number;
}

/**
 * An owner sends no orders when its last confirmed write is older than this. A new owner waits that much longer for the
 * leases on workers that it cannot reach.
 */
export const MAX_UNCONFIRMED_MS = 5000;
/** Planning passes run at least at this interval, since permits expire and quarantines end. */
const PLANNING_INTERVAL_MS = 100;
/**
 * Run numbers of a task per epoch: enough for ten days of restarts of a lasting task. The numbers of the next epoch
 * follow them.
 */
const RUNS_PER_EPOCH = 100_000;
const INTAKE_POLL_WAIT_MS = 1000;
/**
 * Minimum time between two reads of the intake's changes. Entries report the rows that they write; the reads find rows
 * that were not reported.
 */
const MIN_INTAKE_POLL_INTERVAL_MS = 250;

/** Owner of the fleet: makes every decision about its workers and jobs. */
export class FleetOwner implements OwnerService, SuccessionSource, Disposable {
    private readonly fleet: FleetState;
    private readonly disposables = new DisposableStore();
    private readonly runs: RunTracker;
    private readonly writer: ProgressWriter;
    private readonly registry: WorkerRegistry;
    private readonly permitRequester: PermitRequester;
    private readonly watchers: EntryWatchers;
    private readonly dispatcher: Dispatcher;
    private readonly window: StartWindow;
    private readonly intake: IntakeReader;
    private readonly workers: WorkerDirectory;
    private readonly capacities: CapacityFreshness;
    private readonly ownershipLost = new Emitter<string>();
    private readonly planning: PlanningLoop;
    private readonly occurrences: OccurrenceOpener;
    private loaded = false;
    private previousWorkers: readonly KnownWorker[] = [];
    /** Last list of the directory that arrived before the jobs were loaded. */
    private earlyWorkers: readonly WorkerEntry[] | undefined;
    private ready = false;
    private stopping = false;

    /** Which failure domains are evacuated, and what still runs there. */
    public readonly evacuations: EvacuationTracker;
    /** Another process owns the fleet now. */
    public readonly onOwnershipLost = this.ownershipLost.event;

    constructor(
        private readonly dependencies: OwnerDependencies,
        private readonly fencedStore: FencedStore,
        private readonly takeover: Takeover
    ) {
        const { timer, store, workerClient, timing, scheduling, log, config, directorySchema } = dependencies;
        this.fleet = new FleetState(config.evacuatedDomains);
        this.evacuations = this.disposables.add(
            new EvacuationTracker(this.fleet, config, timer, log, fencedStore.epoch, timing.evacuationMs)
        );
        this.runs = new RunTracker(this.fleet, timer);
        this.fleet.ordersByDelayCost = scheduling.ordersByDelayCost;
        if (scheduling.learnsRunTimes) {
            this.disposables.add(new RunPredictions(this.fleet, this.runs.onStepObserved, timer, log));
        }
        this.writer = this.disposables.add(new ProgressWriter(fencedStore, timer));
        this.registry = this.disposables.add(
            new WorkerRegistry(
                fencedStore.epoch,
                this.fleet,
                this.runs,
                workerClient,
                timer,
                {
                    maximumLeaseMs: timing.maximumLeaseMs,
                    roundTripMs: dependencies.roundTripMs,
                    loopDelayMs: dependencies.loopDelayMs
                },
                {
                    staleOwner: () => this.reportLost("a worker has seen the token of a later owner"),
                    maySendOrders: () => !this.stopping && fencedStore.confirmedAgeMs < MAX_UNCONFIRMED_MS,
                    capacityTimeLeftMs: pool => this.capacities.timeLeftMs(pool),
                    awaitCommit: waiter => this.writer.addWaiter(waiter),
                    workerAdded: () => this.writer.renewNow()
                },
                log
            )
        );
        this.permitRequester = this.disposables.add(
            new PermitRequester(this.fleet, timer, {
                entry: fencedStore.holder,
                loopDelayMs: dependencies.loopDelayMs
            })
        );
        this.watchers = this.disposables.add(
            new EntryWatchers(
                fencedStore,
                this.permitRequester,
                this.fleet,
                timer,
                dependencies.loopDelayMs
            )
        );
        this.window = new StartWindow(timer, dependencies.loopDelayMs);
        this.dispatcher = new Dispatcher(
            this.fleet,
            this.registry,
            this.runs,
            this.permitRequester,
            this.window,
            timer,
            log
        );
        const follower = this.disposables.add(
            new TableFollower(store, timer, {
                table: FleetTable.Intake,
                partition: FLEET_PARTITION,
                waitMs: INTAKE_POLL_WAIT_MS,
                minIntervalMs: MIN_INTAKE_POLL_INTERVAL_MS,
                onError: error => log.write(EVENTS.processFailed, { reason: describeError(error) })
            })
        );
        const firstRun = (fencedStore.epoch - 1) * RUNS_PER_EPOCH + 1;
        this.intake = this.disposables.add(new IntakeReader(this.fleet, store, follower, timer, log, firstRun));
        this.workers = this.disposables.add(new WorkerDirectory(store, timer, directorySchema, log));
        this.capacities = new CapacityFreshness(this.workers, this.evacuations, this.fleet, timing.capacityGraceMs);
        this.planning = this.disposables.add(new PlanningLoop(timer, () => this.runPlanning()));
        this.occurrences = new OccurrenceOpener(this.fleet, this.writer, timer, () => this.planning.schedule());
        this.fleet.config = config.config;
        this.subscribe(config);
    }

    public get epoch(): number {
        return this.fencedStore.epoch;
    }

    /** Time since the start of the last confirmed write. */
    public get confirmedAgeMs(): number {
        return this.fencedStore.confirmedAgeMs;
    }

    public get heir(): string | undefined {
        return this.watchers.successor?.entry;
    }

    public list(): readonly KnownWorker[] | undefined {
        return this.ready ? this.registry.list() : undefined;
    }

    public markCommitted(workers: readonly KnownWorker[]): void {
        this.registry.markCommitted(workers);
    }

    /** Loads the jobs, starts the sessions with the workers and begins to plan. */
    public async start(): Promise<void> {
        this.writer.start();
        this.disposables.add(this.workers.onWorkers(entries => this.updateWorkers(entries)));
        this.workers.start();
        const { store, timer } = this.dependencies;
        const [loaded, previousWorkers] = await Promise.all([
            this.intake.load(),
            this.takeover.workers ?? readKnownWorkers(store, timer, () => this.stopping)
        ]);
        if (!loaded || !previousWorkers || this.stopping) {
            return;
        }
        this.previousWorkers = previousWorkers;
        this.loaded = true;
        this.occurrences.openAllDue();
        this.watchers.markLoaded();
        if (this.earlyWorkers) {
            this.updateWorkers(this.earlyWorkers);
        }
    }

    public watch(request: WatchRequest): Promise<WatchReply> {
        return this.watchers.watch(request);
    }

    public report({ epoch, entry, changes, replies, prefetched = [] }: EntryReport): void {
        if (epoch !== this.epoch) {
            return;
        }
        this.intake.applyReported(changes);
        for (const { key } of changes) {
            const { jobId, cancel } = parseIntakeKey(key);
            if (!cancel) {
                this.watchers.followStored(entry, jobId);
            }
        }
        prefetched.forEach(permits => this.permitRequester.applyPrefetched(entry, permits));
        if (replies.length > 0) {
            replies.forEach(reply => this.permitRequester.handleReply(entry, reply));
            this.planning.schedule();
        }
    }

    public query({ entry, jobId }: JobQuery): JobAnswer | undefined {
        return this.loaded ? this.watchers.query(entry, jobId) : undefined;
    }

    /** Tells what would become of a job if it were submitted now. */
    public preview(query: PreviewQuery): PlacementPreview | PreviewFailure {
        return this.ready ? this.dispatcher.preview(query) : PreviewFailure.NotOwner;
    }

    /** The best process to take over the ownership, if any. */
    public get successor(): WatchingEntry | undefined {
        return this.watchers.successor;
    }

    /** The jobs are loaded, the sessions with the workers have started, and planning has begun. */
    public get isPlanning(): boolean {
        return this.ready;
    }

    /**
     * Releases the ownership and names the best successor in the owner's row. Pending progress is committed first, for
     * at most `commitMs`. Ended runs that are not committed are not acknowledged either, so workers report them to the
     * successor again. Returns whether the release was committed within `limitMs`.
     */
    public async release(slow: boolean, commitMs: number, limitMs: number): Promise<boolean> {
        this.stopping = true;
        const released = await this.writer.release(
            { successor: this.watchers.successor?.entry, slow },
            commitMs,
            limitMs
        );
        this.watchers.close();
        this.dispose();
        return released;
    }

    public dispose(): void {
        this.stopping = true;
        this.watchers.close();
        this.disposables.dispose();
        this.ownershipLost.dispose();
    }

    private subscribe(config: ConfigDirectory): void {
        this.disposables.add(this.runs.onJobChanged(job => {
            if (!job.final) {
                this.watchers.jobChanged(job.spec.id);
            }
            this.writer.markDirty(job);
        }));
        this.disposables.add(this.runs.onCapacityFreed(() => this.planning.schedule()));
        this.disposables.add(this.runs.onStopRequested(({ worker, task, run }) => {
            void this.registry.session(worker)?.stopRun(task, run);
        }));
        this.disposables.add(this.runs.onUnknownJob(jobId => this.intake.lookUp(jobId)));
        this.disposables.add(this.intake.onJobAbsent(jobId => this.runs.recordAbsentJob(jobId)));
        this.disposables.add(this.writer.onFinal(job => this.closeJob(job)));
        this.disposables.add(this.writer.onSuperseded(() => this.reportLost("the owner's row names another process")));
        this.disposables.add(config.onConfig(updated => {
            this.fleet.config = updated;
            this.runs.failExhausted();
            this.planning.schedule();
        }));
        this.disposables.add(this.intake.onJobAdded(job => {
            this.occurrences.openDue(job);
            this.runs.applyHeldReports(job.spec.id);
            this.watchers.jobChanged(job.spec.id);
            this.planning.schedule();
        }));
        this.disposables.add(this.intake.onJobCancelled(job => this.runs.finishJob(job, JobPhase.Cancelled)));
    }

    private updateWorkers(entries: readonly WorkerEntry[]): void {
        if (!this.loaded) {
            this.earlyWorkers = entries;
            return;
        }
        if (this.ready) {
            this.registry.update(entries);
            this.planning.schedule();
            return;
        }
        this.registry.start(entries, this.previousWorkers, this.takeover.unknownLeaseMs);
        this.runs.failExhausted();
        const { timer, log } = this.dependencies;
        this.disposables.add(
            new StatusReporter(
                this.fleet,
                this.registry,
                this.fencedStore,
                this.dispatcher,
                this.permitRequester,
                this.window,
                this.planning.durations,
                this.dependencies.loopDelayMs,
                this.dependencies.processorMeter,
                timer,
                log
            )
        );
        this.evacuations.start();
        this.ready = true;
        this.dependencies.log.write(EVENTS.sliceAcquired, { epoch: this.epoch, jobs: this.fleet.jobs.size });
        this.planning.schedule();
        this.disposables.add(this.dependencies.timer.every(PLANNING_INTERVAL_MS, () => this.planning.schedule()));
    }

    private closeJob(job: JobState): void {
        this.fleet.jobs.delete(job.spec.id);
        this.fleet.recordEnded(job, this.dependencies.timer.nowMs());
        this.permitRequester.dropQuestions(job);
        this.watchers.jobChanged(job.spec.id);
        this.dependencies.log.write(
            EVENTS.requestEnded,
            describeEndedJob(job, this.fleet, this.epoch, this.dependencies.timer)
        );
    }

    private runPlanning(): void {
        if (this.stopping || !this.ready || this.fencedStore.confirmedAgeMs >= MAX_UNCONFIRMED_MS) {
            return;
        }
        this.occurrences.openAllDue();
        const { registry, takeover } = this;
        // A previous owner that does not know of the takeover yet may start new jobs on workers that are not fenced.
        const { awaitsFencing } = registry;
        const isNew = takeover.previousStopped
            ? ({ job }: StepState) => job.acceptedVersion > takeover.version
            : ({ job }: StepState) => job.reportedHere && !awaitsFencing;
        this.dispatcher.planAndDispatch(step =>
            step.job.mayStart(step.occurrence) && this.capacities.mayStart(step)
            && (isNew(step) || registry.mayStart(step))
        );
    }

    private reportLost(reason: string): void {
        if (!this.stopping) {
            this.dependencies.log.write(EVENTS.sliceLost, { epoch: this.epoch, reason });
            this.ownershipLost.fire(reason);
        }
    }
}
