import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { LoopDelayMeter } from "@skylarkpath/common/time/LoopDelayMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { ConfigDirectory } from "./config/ConfigDirectory.js";
import type { CallerReply, CallerRequest } from "./entry/EntryTypes.js";
import { IntakeWriter } from "./entry/IntakeWriter.js";
import { JobEntry } from "./entry/JobEntry.js";
import { JobStates } from "./entry/JobStates.js";
import { OwnerWatch } from "./entry/OwnerWatch.js";
import type { FleetTiming } from "./model/FleetTiming.js";
import { FencedStore } from "./owner/FencedStore.js";
import { FleetOwner, MAX_UNCONFIRMED_MS } from "./owner/FleetOwner.js";
import { OwnerElection, type WonOwnership } from "./ownership/OwnerElection.js";
import { SlownessJudge } from "./ownership/SlownessJudge.js";
import type { DirectorySource } from "./ports/DirectorySource.js";
import type { EntryReport, OwnerLink, OwnerService, WatchReply, WatchRequest } from "./ports/OwnerLink.js";
import type { PlacementPolicy } from "./ports/PlacementPolicy.js";
import type { RowStore } from "./ports/RowStore.js";
import type { WorkerCalls } from "./ports/WorkerCalls.js";

/** What a process of the fleet is given. */
export interface FleetEnvironment {
    /** Name of the machine. */
    readonly machine: string;
    /** Address at which other processes reach this one. */
    readonly address: string;
    readonly store: RowStore;
    readonly workers: WorkerCalls;
    readonly policy: PlacementPolicy | undefined;
    readonly ownerLink: OwnerLink;
    readonly directory: DirectorySource;
    readonly timing: FleetTiming;
    readonly timer: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    /** Longest usual round trip between machines. */
    readonly roundTripMs: number;
    /** Share of a processor that this machine has. */
    readonly processorShare: number;
}

/** Part of the time to withdraw a key within which knowledge of the keys must have been confirmed. */
const KEY_AGE_SHARE = 0.9;
/** Delay of a candidate for each millisecond of its round trip to the store: regions are 150 ms apart. */
const DELAY_PER_ROUND_TRIP = 4;
const LONGEST_ROUND_TRIP_DELAY_MS = 300;
/** Spread of candidates that are equal: several round trips within a region. */
const RANDOM_DELAY_MS = 60;
/** Delay of a candidate with a whole processor less than none. */
const SLOW_PROCESSOR_DELAY_MS = 100;
/** Delay of a candidate for each millisecond by which it is late for its work. */
const DELAY_PER_LOOP_DELAY = 2;
/** A slow owner tries this long to give the fleet up; others follow anyway when it does not confirm its row. */
const YIELD_LIMIT_MS = 1500;
/** Knowledge of the configuration that is older than this makes a process not ready: two readings and a retry. */
const READY_AGE_MS = 2500;

/** One process of the fleet: an entry for callers, and the owner while it holds the owner's row. */
export class FleetProcess implements OwnerService, Disposable {
    private readonly disposables = new DisposableStore();
    private readonly directory: ConfigDirectory;
    private readonly watcher: OwnerWatch;
    private readonly election: OwnerElection;
    private readonly entry: JobEntry;
    private readonly loopDelay: LoopDelayMeter;
    private readonly slowness: SlownessJudge;
    private owner: FleetOwner | undefined;
    private stopping = false;
    private readonly identity: string;

    constructor(private readonly environment: FleetEnvironment) {
        const { store, timer, timing, log, machine, address, random } = environment;
        this.identity = `${machine}/${Math.floor(random.next() * Number.MAX_SAFE_INTEGER).toString(36)}`;
        this.directory = this.disposables.add(new ConfigDirectory(store, timer, environment.directory, log));
        this.loopDelay = this.disposables.add(new LoopDelayMeter(timer));
        this.slowness = new SlownessJudge(this.loopDelay, timer);
        const states = new JobStates(timer, timing.stateRetentionMs);
        this.watcher = this.disposables.add(
            new OwnerWatch(environment.ownerLink, environment.policy, states, timer, {
                entry: this.identity,
                storeRoundTripMs: () => this.directory.storeRoundTripMs,
                loopDelayMs: () => this.loopDelay.meanMs,
                mayOwn: () => this.mayOwn,
                questionTimeoutMs: () => this.longestQuestionMs()
            })
        );
        this.entry = new JobEntry({
            store,
            directory: this.directory,
            states,
            watch: this.watcher,
            writer: new IntakeWriter(store, timer),
            log,
            wallClockMs: () => timer.wallClockMs(),
            keyAgeLimitMs: timing.keyWithdrawalMs * KEY_AGE_SHARE
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
                    healthy: () => this.watcher.healthy,
                    refused: () => this.watcher.refused,
                    unconfirmedMs: () => this.watcher.unconfirmedMs,
                    replaced: holder => this.watcher.process !== undefined && this.watcher.process !== holder
                }
            )
        );
    }

    /** Admits callers: the configuration is known and recently confirmed. */
    public get ready(): boolean {
        return !this.stopping && this.directory.ageMs < READY_AGE_MS;
    }

    private get mayOwn(): boolean {
        return !this.stopping && this.directory.config !== undefined;
    }

    /** This process owns the fleet. */
    public get owning(): boolean {
        return this.owner !== undefined;
    }

    /** Age of the last confirmed write of the owner, as far as this process knows it. */
    public get confirmedAgeMs(): number {
        return this.owner?.confirmedAgeMs ?? this.watcher.unconfirmedMs;
    }

    /** Age of what is known of the configuration and its keys; infinite before the first reading. */
    public get configAgeMs(): number {
        return this.directory.ageMs;
    }

    /** Mean delay of what is due in this process. */
    public get loopDelayMs(): number {
        return this.loopDelay.meanMs;
    }

    /** Longest body of a request, as the configuration says. */
    public get maximumBodyBytes(): number | undefined {
        return this.directory.config?.maximumBodyBytes;
    }

    /** Begins to serve. */
    public start(): void {
        this.disposables.add(this.election.onSeen(({ row }) => {
            if (row && row.holder !== this.identity) {
                this.dropOwnership();
            }
            this.watcher.follow(row && !row.released ? row.address : undefined);
        }));
        this.disposables.add(this.election.onWon(won => this.becomeOwner(won)));
        this.disposables.add(this.watcher.onTrouble(() => this.election.check()));
        this.disposables.add(this.loopDelay.onSample(() => this.yieldWhenSlow()));
        this.loopDelay.start();
        this.directory.start();
        this.election.start();
        this.environment.log.write(EVENTS.processStarted, { machine: this.environment.machine });
    }

    /** Answers a caller. */
    public handle(request: CallerRequest): Promise<CallerReply> {
        return this.entry.handle(request);
    }

    public async watch(request: WatchRequest): Promise<WatchReply> {
        return this.owner?.watch(request) ?? { ...NOT_OWNING, process: this.identity };
    }

    public report(report: EntryReport): void {
        this.owner?.report(report);
    }

    /** Stops to own anything and tells the platform to send no more callers; requests are still answered. */
    public async retire(limitMs: number): Promise<void> {
        this.stopping = true;
        this.environment.log.write(EVENTS.processStopping, { owning: this.owner !== undefined });
        this.election.dispose();
        await this.handOver("the process stops", false, limitMs, limitMs);
    }

    public dispose(): void {
        this.dropOwnership();
        this.disposables.dispose();
    }

    private becomeOwner({ row, version, former, formerEnded }: WonOwnership): void {
        const { store, timer, workers, timing, log, roundTripMs } = this.environment;
        this.dropOwnership();
        const known = former?.workers ?? [];
        const ledger: FencedStore = new FencedStore(store, timer, row, version, {
            list: () => owner.list(),
            noteCommitted: workers => owner.noteCommitted(workers)
        });
        const extraMs = formerEnded ? 0 : MAX_UNCONFIRMED_MS;
        const owner: FleetOwner = new FleetOwner(
            {
                store,
                timer,
                calls: workers,
                config: this.directory,
                directory: this.environment.directory,
                timing,
                log,
                loopDelayMs: () => this.loopDelay.meanMs,
                roundTripMs
            },
            ledger,
            {
                version: former ? version : 0,
                workers: known,
                unknownLeaseMs: former ? timing.maximumLeaseMs + extraMs : 0
            }
        );
        this.owner = owner;
        this.slowness.begin(former?.released === true && former.slow === true);
        owner.onOwnershipLost(() => {
            if (this.owner === owner) {
                this.dropOwnership();
                this.election.check();
            }
        });
        void owner.start();
        this.watcher.follow(this.environment.address);
    }

    /** Gives the fleet up when this process gets to its work much later than another one would. */
    private yieldWhenSlow(): void {
        const { owner } = this;
        if (this.slowness.shouldYield(owner?.isPlanning ? owner.heir : undefined)) {
            const reason = `work waits ${Math.round(this.loopDelay.meanMs)} ms for this process`;
            void this.handOver(reason, true, 0, YIELD_LIMIT_MS);
        }
    }

    private async handOver(reason: string, slow: boolean, commitMs: number, limitMs: number): Promise<void> {
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
        const { random, processorShare } = this.environment;
        // Readings while the process starts are late for its own reasons.
        const roundTripMs = Math.min(this.directory.storeRoundTripMs, this.election.fastestReadingMs);
        const roundTripDelayMs = roundTripMs * DELAY_PER_ROUND_TRIP;
        return Math.min(LONGEST_ROUND_TRIP_DELAY_MS, roundTripDelayMs)
            + this.loopDelay.meanMs * DELAY_PER_LOOP_DELAY + random.next() * RANDOM_DELAY_MS
            + Math.max(0, 1 - processorShare) * SLOW_PROCESSOR_DELAY_MS;
    }

    private longestQuestionMs(): number {
        const costs = (this.directory.config?.queues ?? []).map(({ policy }) =>
            policy ? policy.decideMs + policy.perWorkerMs * 100 : 0
        );
        return Math.max(0, ...costs) * 2 + 1000;
    }
}

const NOT_OWNING: Omit<WatchReply, "process"> = {
    epoch: 0,
    owning: false,
    sequence: 0,
    whole: false,
    updates: [],
    waiting: {},
    questions: [],
    confirmedAgeMs: 0
};
