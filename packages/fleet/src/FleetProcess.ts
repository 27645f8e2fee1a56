import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { EventLoopDelayMeter } from "@skylarkpath/common/time/EventLoopDelayMeter";
import { MachineSpeedMeter } from "@skylarkpath/common/time/MachineSpeedMeter";
import type { ProcessorMeter } from "@skylarkpath/common/time/ProcessorMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { ConfigDirectory } from "./config/ConfigDirectory.js";
import type { CallerReply, CallerRequest } from "./entry/EntryTypes.js";
import { IntakeWriter } from "./entry/IntakeWriter.js";
import { JobStateCache } from "./entry/JobStateCache.js";
import { OwnerWatcher } from "./entry/OwnerWatcher.js";
import { RequestHandler } from "./entry/RequestHandler.js";
import type { FleetTiming } from "./model/FleetTiming.js";
import { DEFAULT_SCHEDULING, type SchedulingOptions } from "./model/SchedulingOptions.js";
import { FencedStore } from "./owner/FencedStore.js";
import { FleetOwner, MAX_UNCONFIRMED_MS } from "./owner/FleetOwner.js";
import { OwnerElection, type WonOwnership } from "./ownership/OwnerElection.js";
import { SlownessDetector } from "./ownership/SlownessDetector.js";
import type { DirectorySchema } from "./ports/DirectorySchema.js";
import type {
    EntryReport,
    JobAnswer,
    JobQuery,
    OwnerClient,
    OwnerService,
    WatchReply,
    WatchRequest
} from "./ports/OwnerClient.js";
import type { PlacementPolicy } from "./ports/PlacementPolicy.js";
import { type PlacementPreview, PreviewFailure, type PreviewQuery } from "./ports/PlacementPreview.js";
import type { RowStore } from "./ports/RowStore.js";
import type { WorkerClient } from "./ports/WorkerClient.js";

/** Dependencies and settings of a fleet process. */
export interface FleetEnvironment {
    /** Name of the machine. */
    readonly machine: string;
    /** Address at which other processes reach this one. */
    readonly address: string;
    readonly store: RowStore;
    readonly workers: WorkerClient;
    readonly policy: PlacementPolicy | undefined;
    readonly ownerClient: OwnerClient;
    readonly directorySchema: DirectorySchema;
    readonly timing: FleetTiming;
    /** Undefined for the default. */
    readonly scheduling?: SchedulingOptions;
    readonly timer: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Maximum round-trip time between machines in normal operation. */
    readonly roundTripMs: number;
    /** Number of processors that the process may use; below one for a fraction of a processor. */
    readonly availableProcessors: number;
    /** Times a fixed piece of work, in ms. */
    readonly timeFixedWork: () => number;
    readonly processorMeter: ProcessorMeter;
}

/** Known API keys may be at most this old, as a share of the time within which a withdrawn key must stop working. */
const MAX_KEY_AGE_RATIO = 0.9;
/** Delay of a candidate per millisecond of its round trip to the store; it separates regions by 150 ms. */
const DELAY_PER_ROUND_TRIP = 4;
const MAX_ROUND_TRIP_DELAY_MS = 300;
/** Random delay that separates equal candidates: several round trips within a region. */
const MAX_RANDOM_DELAY_MS = 60;
/** Delay of a candidate whose machine has no processor; it falls linearly to zero for one whole processor. */
const SLOW_PROCESSOR_DELAY_MS = 100;
/** Delay of a candidate per millisecond of its event-loop delay. */
const DELAY_PER_LOOP_DELAY = 2;
/** Time limit for a slow owner's release; otherwise others take over once its row is not confirmed. */
const STEP_DOWN_TIMEOUT_MS = 1500;
/** A process is not ready when its configuration is older than this: two reads and a retry. */
const MAX_READY_CONFIG_AGE_MS = 2500;

/**
 * One process of the fleet. Each is an entry process, which handles caller requests. The one that the owner's row names
 * is also the owner, which schedules all jobs.
 */
export class FleetProcess implements OwnerService, Disposable {
    private readonly disposables = new DisposableStore();
    private readonly configDirectory: ConfigDirectory;
    private readonly ownerWatcher: OwnerWatcher;
    private readonly election: OwnerElection;
    private readonly requestHandler: RequestHandler;
    private readonly loopDelay: EventLoopDelayMeter;
    private readonly slownessDetector: SlownessDetector;
    private owner: FleetOwner | undefined;
    private stopping = false;
    private readonly identity: string;

    constructor(private readonly environment: FleetEnvironment) {
        const { store, timer, timing, log, machine, address, random } = environment;
        this.identity = `${machine}/${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`;
        this.configDirectory = this.disposables.add(
            new ConfigDirectory(store, timer, environment.directorySchema, log, timing.evacuationMs)
        );
        this.loopDelay = this.disposables.add(new EventLoopDelayMeter(timer));
        const speed = this.disposables.add(new MachineSpeedMeter(timer, environment.timeFixedWork));
        speed.start();
        const machineSpeed = { processors: environment.availableProcessors, slowdown: () => speed.slowdown };
        this.slownessDetector = new SlownessDetector(this.loopDelay, machineSpeed, timer);
        const states = this.disposables.add(new JobStateCache(timer, timing.stateRetentionMs));
        this.ownerWatcher = this.disposables.add(
            new OwnerWatcher(environment.ownerClient, environment.policy, states, timer, {
                entry: this.identity,
                storeRoundTripMs: () => this.configDirectory.storeRoundTripMs,
                loopDelayMs: () => this.loopDelay.meanMs,
                processors: environment.availableProcessors,
                log,
                mayOwn: () => this.mayOwn,
                policyTimeoutMs: () => this.policyTimeoutMs()
            })
        );
        this.requestHandler = new RequestHandler({
            store,
            configDirectory: this.configDirectory,
            states,
            ownerWatcher: this.ownerWatcher,
            writer: new IntakeWriter(store, timer),
            log,
            wallClockMs: () => timer.wallClockMs(),
            keyAgeLimitMs: timing.keyWithdrawalMs * MAX_KEY_AGE_RATIO
        });
        this.election = this.disposables.add(
            new OwnerElection(
                store,
                timer,
                {
                    holder: this.identity,
                    address,
                    eligible: () => this.mayOwn,
                    delayMs: () => this.candidateDelayMs()
                },
                {
                    healthy: () => this.ownerWatcher.healthy,
                    refused: () => this.ownerWatcher.refused,
                    unconfirmedMs: () => this.ownerWatcher.unconfirmedMs,
                    loopDelayMs: () => this.ownerWatcher.loopDelayMs,
                    alive: () => this.ownerWatcher.alive,
                    replaced: holder => this.ownerWatcher.process !== undefined && this.ownerWatcher.process !== holder
                }
            )
        );
    }

    /** Whether callers may be sent to this process: it is not stopping and its configuration is up to date. */
    public get ready(): boolean {
        return !this.stopping && this.configDirectory.ageMs < MAX_READY_CONFIG_AGE_MS;
    }

    private get mayOwn(): boolean {
        return !this.stopping && this.configDirectory.config !== undefined;
    }

    /** Whether this process owns the fleet. */
    public get owning(): boolean {
        return this.owner !== undefined;
    }

    /** Age of the owner's last confirmed write in ms, as far as this process knows. */
    public get confirmedAgeMs(): number {
        return this.owner?.confirmedAgeMs ?? this.ownerWatcher.unconfirmedMs;
    }

    /** Age of the known configuration and its API keys in ms; infinite before the first read. */
    public get configAgeMs(): number {
        return this.configDirectory.ageMs;
    }

    /** Number of failure domains that are evacuated, as far as this process knows. */
    public get evacuatedDomainCount(): number {
        return this.configDirectory.evacuatedDomains.size;
    }

    /** Number of tasks that still run in evacuated failure domains; zero unless this process owns the fleet. */
    public get evacuatedRunCount(): number {
        return this.owner?.evacuations.runCount ?? 0;
    }

    /** Mean event-loop delay of this process in ms. */
    public get loopDelayMs(): number {
        return this.loopDelay.meanMs;
    }

    /** Maximum size of a request body; undefined before the configuration is known. */
    public get maximumBodyBytes(): number | undefined {
        return this.configDirectory.config?.maximumBodyBytes;
    }

    /** Starts to follow the configuration, to watch the owner and to take part in the election. */
    public start(): void {
        this.disposables.add(this.election.onRowChanged(({ row }) => {
            if (row && row.holder !== this.identity) {
                this.dropOwnership();
            }
            this.ownerWatcher.setOwnerAddress(row && !row.released ? row.address : undefined);
        }));
        this.disposables.add(this.election.onWon(won => this.becomeOwner(won)));
        this.disposables.add(this.ownerWatcher.onUnhealthy(() => this.election.check()));
        this.disposables.add(this.loopDelay.onSample(() => this.stepDownWhenSlow()));
        this.loopDelay.start();
        this.configDirectory.start();
        this.election.start();
        this.environment.log.write(EVENTS.processStarted, { machine: this.environment.machine });
    }

    /** Handles a caller's request. */
    public handle(request: CallerRequest): Promise<CallerReply> {
        return this.requestHandler.handle(request);
    }

    public async watch(request: WatchRequest): Promise<WatchReply> {
        return this.owner?.watch(request) ?? { ...NOT_OWNING, process: this.identity };
    }

    public report(report: EntryReport): void {
        this.owner?.report(report);
    }

    public query(query: JobQuery): JobAnswer | undefined {
        return this.owner?.query(query);
    }

    /** Tells what would become of a job if it were submitted now; only the owner knows. */
    public preview(query: PreviewQuery): PlacementPreview | PreviewFailure {
        return this.owner?.preview(query) ?? PreviewFailure.NotOwner;
    }

    /** Address of the owner, as far as this process knows. */
    public get ownerAddress(): string | undefined {
        return this.ownerWatcher.ownerAddress;
    }

    /** Releases the fleet if this process owns it, and is not ready from now on; requests are still answered. */
    public async drain(limitMs: number): Promise<void> {
        this.stopping = true;
        this.environment.log.write(EVENTS.processStopping, { owning: this.owner !== undefined });
        this.election.dispose();
        await this.releaseOwnership("the process stops", false, limitMs, limitMs);
    }

    public dispose(): void {
        this.dropOwnership();
        this.disposables.dispose();
    }

    private becomeOwner(
        { row, version, previous: previousRow, previousStopped: isPreviousStopped }: WonOwnership
    ): void {
        const { store, timer, workers, timing, log, roundTripMs } = this.environment;
        this.dropOwnership();
        const fencedStore: FencedStore = new FencedStore(store, timer, row, version, {
            get heir() {
                return owner.heir;
            },
            list: () => owner.list(),
            markCommitted: workers => owner.markCommitted(workers)
        }, previousRow?.workers);
        const staleOwnerMs = isPreviousStopped ? 0 : MAX_UNCONFIRMED_MS;
        const owner: FleetOwner = new FleetOwner(
            {
                store,
                timer,
                workerClient: workers,
                config: this.configDirectory,
                directorySchema: this.environment.directorySchema,
                timing,
                scheduling: this.environment.scheduling ?? DEFAULT_SCHEDULING,
                log,
                loopDelayMs: () => this.loopDelay.meanMs,
                processorMeter: this.environment.processorMeter,
                roundTripMs
            },
            fencedStore,
            {
                version: previousRow ? version : 0,
                workers: previousRow?.workers,
                previousStopped: isPreviousStopped,
                unknownLeaseMs: previousRow ? timing.maximumLeaseMs + staleOwnerMs : 0
            }
        );
        this.owner = owner;
        this.slownessDetector.startTenure(previousRow?.released === true && previousRow.slow === true);
        owner.onOwnershipLost(() => {
            if (this.owner === owner) {
                this.dropOwnership();
                this.election.check();
            }
        });
        void owner.start();
        this.ownerWatcher.setOwnerAddress(this.environment.address);
    }

    /** Releases the fleet when this process is slow and its successor is much faster. */
    private stepDownWhenSlow(): void {
        const { owner } = this;
        if (this.slownessDetector.shouldStepDown(owner?.isPlanning ? owner.successor : undefined)) {
            const reason = `work waits ${Math.round(this.loopDelay.meanMs)} ms for this process`;
            void this.releaseOwnership(reason, true, 0, STEP_DOWN_TIMEOUT_MS);
        }
    }

    private async releaseOwnership(reason: string, slow: boolean, commitMs: number, limitMs: number): Promise<void> {
        const { owner } = this;
        this.owner = undefined;
        if (owner) {
            const confirmed = await owner.release(slow, commitMs, limitMs);
            this.environment.log.write(EVENTS.sliceHandedOver, { epoch: owner.epoch, confirmed, reason });
        }
    }

    private dropOwnership(): void {
        this.owner?.dispose();
        this.owner = undefined;
    }

    private candidateDelayMs(): number {
        const { random, availableProcessors: processorShare } = this.environment;
        // Reads during the start are slowed by this process itself, so the fastest one counts.
        const roundTripMs = Math.min(this.configDirectory.storeRoundTripMs, this.election.minReadDurationMs);
        const roundTripDelayMs = roundTripMs * DELAY_PER_ROUND_TRIP;
        return Math.min(MAX_ROUND_TRIP_DELAY_MS, roundTripDelayMs)
            + this.loopDelay.meanMs * DELAY_PER_LOOP_DELAY + random.next() * MAX_RANDOM_DELAY_MS
            + Math.max(0, 1 - processorShare) * SLOW_PROCESSOR_DELAY_MS;
    }

    private policyTimeoutMs(): number {
        const questionTimesMs = (this.configDirectory.config?.queues ?? []).map(({ policy }) =>
            policy ? policy.decideMs + policy.perWorkerMs * 100 : 0
        );
        return Math.max(0, ...questionTimesMs) * 2 + 1000;
    }
}

const NOT_OWNING: Omit<WatchReply, "process"> = {
    epoch: 0,
    owning: false,
    sequence: 0,
    updates: [],
    waiting: {},
    questions: [],
    confirmedAgeMs: 0
};
