import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter, type Event } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { err, ok } from "neverthrow";
import type { PeerClient } from "../peer/PeerClient.js";
import {
    type Heartbeat,
    type HeartbeatReply,
    heartbeatReplySchema,
    type HeartbeatRequest,
    heartbeatRequestSchema,
    type KeyStatus,
    PeerMethod
} from "../peer/PeerMessages.js";
import type { LinkKind } from "../peer/TrafficCounter.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { LiveListReader } from "./LiveListReader.js";
import { PeerSelector } from "./PeerSelector.js";
import { ReportExchange } from "./ReportExchange.js";
import { type KnownReport, ReportTable } from "./ReportTable.js";
import { Suspicion, SuspicionTracker } from "./SuspicionTracker.js";

/** State of another process as determined by this one. */
export enum PeerState {
    Alive = "alive",
    Suspected = "suspected",
    Dead = "dead"
}

/** State and latest heartbeat of another process as known to this one. */
export interface PeerView {
    readonly state: PeerState;
    readonly heartbeat: Heartbeat;
    /** Latest monotonic time at which the process is known to have run, also from what relays report. */
    readonly lastSeenMs: number;
    /** Probable cause of the silence; absent while the process is alive. */
    readonly suspicion?: Suspicion;
}

/** How current a reply is on one process: it covers all key changes that the process had `ageMs` before the request. */
export interface ProcessKeySyncStatus {
    readonly processId: string;
    readonly ageMs: number;
    readonly storeLost: boolean;
}

/** Reply of another process to a heartbeat request of this one. */
export interface HeartbeatResult {
    readonly processId: string;
    readonly incarnation: string;
    readonly address: string;
    /** Monotonic time at which the request was sent. */
    readonly sentMs: number;
    readonly keys: KeyStatus;
    readonly keySyncStatuses: readonly ProcessKeySyncStatus[];
}

/** Key sync status of several processes: the oldest age, and whether all of them have lost the store. */
export interface KeySyncStatus {
    readonly ageMs: number;
    readonly storeLost: boolean;
}

/** Provides the data about this process that heartbeat messages carry. */
export interface HeartbeatSource {
    readonly heartbeat: () => Heartbeat;
    readonly keys: () => KeyStatus;
    readonly keySyncStatus: (processIds: readonly string[]) => KeySyncStatus | undefined;
}

interface PeerAssessment {
    state: PeerState;
    suspicion?: Suspicion;
}

/** Number of relay intervals that a heartbeat may take from one process through two relays to another one. */
const RELAY_DELAY_INTERVALS = 4;

/** Tracks the live list and the other processes: directly within the failure domain, through relays beyond it. */
export class MembershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly table: ReportTable;
    private readonly exchange: ReportExchange;
    private readonly selector: PeerSelector;
    private readonly suspicions = new SuspicionTracker();
    private readonly assessments = new Map<string, PeerAssessment>();
    private readonly pending = new Set<string>();
    private readonly heartbeatEmitter = this.store.add(new Emitter<Heartbeat>());
    private readonly heartbeatResultEmitter = this.store.add(new Emitter<HeartbeatResult>());
    private readonly peerStateEmitter = this.store.add(new Emitter<PeerView>());
    /** Processes for which another heartbeat request became due while one was in flight. */
    private readonly dueAgain = new Set<string>();
    private readonly liveList: LiveListReader;
    private source: HeartbeatSource | undefined;
    private updatePending = false;

    /** Fires for each new or changed heartbeat of another process. */
    public readonly onHeartbeat = this.heartbeatEmitter.event;
    /** Fires for each reply to a heartbeat request. */
    public readonly onHeartbeatResult = this.heartbeatResultEmitter.event;
    /** Fires when another process is first seen and when its state changes. */
    public readonly onPeerState = this.peerStateEmitter.event;
    /** Fires after each successful read of the live list. */
    public readonly onLiveList: Event<readonly LiveMachine[]>;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient
    ) {
        const { identity, timer, hasher } = environment;
        this.table = new ReportTable(hasher);
        this.exchange = new ReportExchange(identity, timer, this.table, options);
        this.selector = new PeerSelector(identity, timer, options, processId => this.isEligible(processId));
        this.liveList = this.store.add(new LiveListReader(environment.liveList, timer, identity.processId));
        this.onLiveList = this.liveList.onRead;
        this.store.add(this.liveList.onRead(() => this.selector.setMachines(this.peerMachines)));
        this.store.add(this.exchange.onChange(heartbeat => this.handleHeartbeat(heartbeat)));
        peerClient.serve(PeerMethod.Heartbeat, heartbeatRequestSchema, async request => {
            this.exchange.receiveUpdates(request.news, timer.nowMs());
            return this.source ? ok(this.composeReply(request, this.source)) : err("The process has not started yet.");
        });
    }

    /** All machines of the latest live list. */
    public get machines(): readonly LiveMachine[] {
        return this.liveList.machines;
    }

    /** Whether the live list was read at least once. */
    public get hasLiveList(): boolean {
        return Number.isFinite(this.liveList.ageMs);
    }

    /** Time since the latest successful read of the live list was started; infinite before the first one. */
    public get liveListAgeMs(): number {
        return this.liveList.ageMs;
    }

    /** Other processes of which a heartbeat is known. */
    public get peers(): readonly PeerView[] {
        return this.table.all.filter(known => !this.isSelf(known)).map(known => this.viewOf(known));
    }

    /** Machines of the live list that run the other processes. */
    public get peerMachines(): readonly LiveMachine[] {
        return this.liveList.peerMachines;
    }

    /** Whether this process is the relay of its failure domain. */
    public get isDomainRelay(): boolean {
        return this.selector.isDomainRelay;
    }

    /** Processes to push an update to, chosen so that each update crosses a link between regions once. */
    public get updateRecipients(): readonly LiveMachine[] {
        return this.selector.updateRecipients();
    }

    /** Kind of the link from this process to an address. */
    public linkKindOf(address: string): LinkKind {
        return this.liveList.linkKindOf(address, this.environment.identity);
    }

    /** Finds another process by its id. */
    public peer(processId: string): PeerView | undefined {
        const known = this.table.find(processId);
        return known && !this.isSelf(known) ? this.viewOf(known) : undefined;
    }

    /** Starts to read the live list and to exchange heartbeats. */
    public start(source: HeartbeatSource): void {
        this.source = source;
        const { timer } = this.environment;
        this.store.add(timer.every(this.options.liveListIntervalMs, () => void this.readLiveList()));
        this.store.add(timer.every(this.options.heartbeatIntervalMs, () => this.sendHeartbeats(false)));
        void this.readLiveList().then(() => this.sendHeartbeats(true));
    }

    /** Sends the changes of this process at once instead of at the next interval. */
    public sendHeartbeatsNow(): void {
        this.sendHeartbeats(true);
    }

    /** Reads the live list now; returns false when the read fails. */
    public readLiveList(): Promise<boolean> {
        return this.liveList.read();
    }

    public dispose(): void {
        this.store.dispose();
    }

    private isSelf(known: KnownReport): boolean {
        return known.report.heartbeat.processId === this.environment.identity.processId;
    }

    private viewOf(known: KnownReport): PeerView {
        const { heartbeat } = known.report;
        const assessment = this.assessments.get(heartbeat.processId);
        return {
            state: assessment?.state ?? PeerState.Alive,
            heartbeat,
            lastSeenMs: known.lastSeenMs,
            suspicion: assessment?.suspicion
        };
    }

    /** A relay is not stopping, has not failed recently and was seen within two intervals plus the relay allowance. */
    private isEligible(processId: string): boolean {
        const { identity, timer } = this.environment;
        const known = this.table.find(processId);
        if (processId === identity.processId) {
            return !known?.report.heartbeat.stopping;
        }
        if (!known || known.report.heartbeat.stopping || this.selector.hasFailedRecently(processId)) {
            return false;
        }
        const limitMs = 2 * this.options.heartbeatIntervalMs + this.relayAllowanceMs(known.report.heartbeat);
        return timer.nowMs() - known.lastSeenMs <= limitMs;
    }

    private sendHeartbeats(hasUpdates: boolean): void {
        if (this.source) {
            this.exchange.setOwnHeartbeat(this.source.heartbeat());
            this.updateStates();
            const selections = this.selector.selectDue(hasUpdates, this.silentPeers().length > 0);
            selections.forEach(selection => void this.queryAny(selection.candidates, selection.requestedDomains));
        }
    }

    /** Queries candidates in order until one replies or already has a query in flight, which is then repeated. */
    private async queryAny(candidates: readonly LiveMachine[], requestedDomains: readonly string[]): Promise<void> {
        for (const machine of candidates) {
            const isPending = this.pending.has(machine.machineId);
            if (isPending) {
                this.dueAgain.add(machine.machineId);
            }
            if (isPending || await this.query(machine, requestedDomains)) {
                return;
            }
        }
    }

    private async query(machine: LiveMachine, requestedDomains: readonly string[]): Promise<boolean> {
        const { machineId, address } = machine;
        this.pending.add(machineId);
        this.dueAgain.delete(machineId);
        const sentMs = this.environment.timer.nowMs();
        const request = this.exchange.composeRequest(machine, requestedDomains, this.selector.domainsToReport(machine));
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.Heartbeat,
            request,
            this.options.heartbeatTimeoutMs
        );
        this.pending.delete(machineId);
        const answer = reply.isOk() ? heartbeatReplySchema.safeParse(reply.value) : undefined;
        if (!answer?.success || answer.data.processId !== machineId) {
            this.exchange.forgetSent(machineId);
            this.selector.recordFailure(machineId);
            if (reply.isErr()) {
                this.suspicions.recordFailure(machineId, reply.error);
            }
            return false;
        }
        this.selector.recordReply(machineId);
        this.suspicions.recordReply(machineId, sentMs, answer.data.silent ?? []);
        this.handleReply(answer.data, machine, sentMs);
        if (this.dueAgain.has(machineId)) {
            void this.query(machine, requestedDomains);
        }
        return true;
    }

    private handleReply(reply: HeartbeatReply, machine: LiveMachine, sentMs: number): void {
        const relayed = this.exchange.receiveReply(reply, sentMs);
        this.updateStates();
        this.heartbeatResultEmitter.fire({
            processId: reply.processId,
            incarnation: reply.incarnation,
            address: machine.address,
            sentMs,
            keys: reply.keys,
            keySyncStatuses: [{ processId: reply.processId, ageMs: 0, storeLost: reply.keys.storeLost }, ...relayed]
        });
    }

    private composeReply(request: HeartbeatRequest, source: HeartbeatSource): HeartbeatReply {
        const { identity } = this.environment;
        this.exchange.setOwnHeartbeat(source.heartbeat());
        const silent = this.silentPeers();
        return {
            processId: identity.processId,
            incarnation: identity.incarnation,
            keys: source.keys(),
            ...this.exchange.composeReply(request, processIds => source.keySyncStatus(processIds)),
            ...(silent.length > 0 ? { silent } : {})
        };
    }

    private silentPeers(): readonly string[] {
        const { failureDomain, processId } = this.environment.identity;
        const nowMs = this.environment.timer.nowMs();
        return this.table.ofDomain(failureDomain)
            .filter(known => nowMs - this.lastSeenMsOf(known) > 2 * this.options.heartbeatIntervalMs)
            .map(known => known.report.heartbeat.processId)
            .filter(id => id !== processId);
    }

    /** Within the failure domain only replies to this process count. */
    private lastSeenMsOf(known: KnownReport): number {
        const { processId, failureDomain } = known.report.heartbeat;
        const isSameDomain = failureDomain === this.environment.identity.failureDomain;
        return isSameDomain ? this.suspicions.lastAnsweredMs(processId) ?? known.firstSeenMs : known.lastSeenMs;
    }

    /** Publishes a changed heartbeat; a domain relay forwards it after a delay in which it collects further changes. */
    private handleHeartbeat(heartbeat: Heartbeat): void {
        this.heartbeatEmitter.fire(heartbeat);
        if (!this.updatePending && this.isDomainRelay) {
            this.updatePending = true;
            this.store.add(this.environment.timer.after(this.options.updateDelayMs, () => {
                this.updatePending = false;
                this.sendHeartbeats(true);
            }));
        }
    }

    /** Additional silence allowed for processes that are seen only through relays. */
    private relayAllowanceMs(heartbeat: Heartbeat): number {
        const { identity } = this.environment;
        if (heartbeat.region !== identity.region) {
            return RELAY_DELAY_INTERVALS * (this.options.domainRelayIntervalMs + this.options.regionRelayIntervalMs);
        }
        return heartbeat.failureDomain === identity.failureDomain
            ? 0
            : RELAY_DELAY_INTERVALS * this.options.domainRelayIntervalMs;
    }

    private updateStates(): void {
        const nowMs = this.environment.timer.nowMs();
        const listed = new Set(this.peerMachines.map(machine => machine.machineId));
        for (const known of this.table.all) {
            if (this.isSelf(known)) {
                continue;
            }
            const { heartbeat } = known.report;
            const silenceMs = nowMs - this.lastSeenMsOf(known) - this.relayAllowanceMs(heartbeat);
            const isListed = !this.hasLiveList || listed.has(heartbeat.processId);
            this.setState(known, this.assess(heartbeat, silenceMs, isListed));
            if (!isListed && silenceMs >= this.options.deadAfterMs + this.options.liveListLagMs) {
                this.table.remove(heartbeat.processId);
                this.assessments.delete(heartbeat.processId);
            }
        }
    }

    private assess(heartbeat: Heartbeat, silenceMs: number, isListed: boolean): PeerAssessment {
        if (silenceMs < this.options.suspectAfterMs) {
            return { state: PeerState.Alive };
        }
        const isSameDomain = heartbeat.failureDomain === this.environment.identity.failureDomain;
        const suspicion = this.suspicions.classify(heartbeat.processId, isListed, isSameDomain ? this.observers() : []);
        const isDead = silenceMs >= this.options.deadAfterMs && suspicion !== Suspicion.HeardByOthers;
        return { state: isDead ? PeerState.Dead : PeerState.Suspected, suspicion };
    }

    private observers(): readonly string[] {
        const { failureDomain } = this.environment.identity;
        const limitMs = this.environment.timer.nowMs() - 2 * this.options.heartbeatIntervalMs;
        return this.table.ofDomain(failureDomain)
            .filter(known => !this.isSelf(known) && known.lastSeenMs >= limitMs)
            .map(known => known.report.heartbeat.processId);
    }

    private setState(known: KnownReport, next: PeerAssessment): void {
        const { processId } = known.report.heartbeat;
        const before = this.assessments.get(processId);
        this.assessments.set(processId, next);
        if (before?.state === next.state) {
            return;
        }
        const definition = {
            [PeerState.Alive]: EVENTS.peerAlive,
            [PeerState.Suspected]: EVENTS.peerSuspected,
            [PeerState.Dead]: EVENTS.peerDead
        }[next.state];
        this.environment.log.write(definition, {
            peer: processId,
            ...(next.suspicion ? { suspicion: next.suspicion } : {})
        });
        this.peerStateEmitter.fire(this.viewOf(known));
    }
}
