import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter, type Event } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { err, ok } from "neverthrow";
import type { PeerClient } from "../peer/PeerClient.js";
import {
    type Beat,
    type BeatReply,
    beatReplySchema,
    beatSchema,
    type Heartbeat,
    type KeyStatus,
    PeerMethod
} from "../peer/PeerMessages.js";
import type { LinkKind } from "../peer/TrafficCounter.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { LiveListReader } from "./LiveListReader.js";
import { PartnerChoice } from "./PartnerChoice.js";
import { ReportExchange } from "./ReportExchange.js";
import { type KnownReport, ReportTable } from "./ReportTable.js";
import { Suspicion, SuspicionTracker } from "./SuspicionTracker.js";

/** How a process sees another one. */
export enum PeerState {
    Alive = "alive",
    Suspected = "suspected",
    Dead = "dead"
}

/** Another process as seen from here. */
export interface PeerView {
    readonly state: PeerState;
    readonly heartbeat: Heartbeat;
    /** Monotonic time up to which the process is known to have lived, also by the word of relays. */
    readonly lastHeardMs: number;
    /** Why the process is silent, unless it is alive. */
    readonly suspicion?: Suspicion;
}

/** What a process said at most this long before its relay was asked. */
export interface ProcessStatement {
    readonly processId: string;
    readonly ageMs: number;
    readonly storeLost: boolean;
}

/** Answer of another process to a beat that was sent from here. */
export interface HeartbeatReport {
    readonly processId: string;
    readonly incarnation: string;
    readonly address: string;
    /** Monotonic time at which the process was asked. */
    readonly sentMs: number;
    readonly keys: KeyStatus;
    readonly statements: readonly ProcessStatement[];
}

/** Oldest statement about keys of some processes. */
export interface GroupStatement {
    readonly ageMs: number;
    readonly storeLost: boolean;
}

/** What a process tells others about itself. */
export interface HeartbeatSource {
    readonly heartbeat: () => Heartbeat;
    readonly keys: () => KeyStatus;
    readonly keyStatement: (processIds: readonly string[]) => GroupStatement | undefined;
}

interface PeerEntry {
    state: PeerState;
    suspicion?: Suspicion;
}

/** Intervals of relays that a sign of life may take from one process over two relays to another one. */
const HOPS_OF_RELAYS = 4;

/** Knows the live list and the other processes: directly in the failure domain, by relays beyond it. */
export class MembershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly table: ReportTable;
    private readonly exchange: ReportExchange;
    private readonly partners: PartnerChoice;
    private readonly suspicions = new SuspicionTracker();
    private readonly entries = new Map<string, PeerEntry>();
    private readonly pending = new Set<string>();
    private readonly heartbeatEmitter = this.store.add(new Emitter<Heartbeat>());
    private readonly reportEmitter = this.store.add(new Emitter<HeartbeatReport>());
    private readonly peerStateEmitter = this.store.add(new Emitter<PeerView>());
    /** Processes whose beat was due while another one was under way. */
    private readonly dueAgain = new Set<string>();
    private readonly liveList: LiveListReader;
    private source: HeartbeatSource | undefined;
    private newsPending = false;

    /** Tells each heartbeat that brings something new. */
    public readonly onHeartbeat = this.heartbeatEmitter.event;
    /** Tells each answer to a beat. */
    public readonly onReport = this.reportEmitter.event;
    /** Tells each change of the state of another process. */
    public readonly onPeerState = this.peerStateEmitter.event;
    /** Tells each reading of the live list. */
    public readonly onLiveList: Event<readonly LiveMachine[]>;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient
    ) {
        const { identity, timer, hasher } = environment;
        this.table = new ReportTable(hasher);
        this.exchange = new ReportExchange(identity, timer, this.table, options);
        this.partners = new PartnerChoice(identity, timer, options, processId => this.isEligible(processId));
        this.liveList = this.store.add(new LiveListReader(environment.liveList, timer, identity.processId));
        this.onLiveList = this.liveList.onRead;
        this.store.add(this.liveList.onRead(() => this.partners.setMachines(this.entryMachines)));
        this.store.add(this.exchange.onChange(heartbeat => this.takeIn(heartbeat)));
        peerClient.serve(PeerMethod.Heartbeat, beatSchema, async beat => {
            this.exchange.receiveNews(beat.news, timer.nowMs());
            return this.source ? ok(this.composeReply(beat, this.source)) : err("The process has not started yet.");
        });
    }

    /** Machines of the last reading of the live list. */
    public get machines(): readonly LiveMachine[] {
        return this.liveList.machines;
    }

    /** Tells whether the live list was read at least once. */
    public get hasLiveList(): boolean {
        return Number.isFinite(this.liveList.ageMs);
    }

    /** Time since the request of the last reading of the live list. */
    public get liveListAgeMs(): number {
        return this.liveList.ageMs;
    }

    /** Other processes that were heard. */
    public get peers(): readonly PeerView[] {
        return this.table.all.filter(known => !this.isSelf(known)).map(known => this.viewOf(known));
    }

    /** Processes of the live list other than this one. */
    public get entryMachines(): readonly LiveMachine[] {
        return this.liveList.entryMachines;
    }

    /** Tells whether this process speaks for its failure domain. */
    public get isDomainRelay(): boolean {
        return this.partners.isDomainRelay;
    }

    /** Other processes to pass news on to, so that each message crosses a link between regions once. */
    public get newsReceivers(): readonly LiveMachine[] {
        return this.partners.newsReceivers();
    }

    /** Kind of the link to the process at an address. */
    public linkKindOf(address: string): LinkKind {
        return this.liveList.linkKindOf(address, this.environment.identity);
    }

    /** Finds another process by its id. */
    public peer(processId: string): PeerView | undefined {
        const known = this.table.find(processId);
        return known && !this.isSelf(known) ? this.viewOf(known) : undefined;
    }

    /** Begins to read the live list and to exchange heartbeats. */
    public start(source: HeartbeatSource): void {
        this.source = source;
        const { timer } = this.environment;
        this.store.add(timer.every(this.options.liveListIntervalMs, () => void this.readLiveList()));
        this.store.add(timer.every(this.options.heartbeatIntervalMs, () => this.beatWith(false)));
        void this.readLiveList().then(() => this.beatWith(true));
    }

    /** Tells the others now what is new here. */
    public beat(): void {
        this.beatWith(true);
    }

    /** Reads the live list now; false when it cannot be read. */
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
        const entry = this.entries.get(heartbeat.processId);
        return {
            state: entry?.state ?? PeerState.Alive,
            heartbeat,
            lastHeardMs: known.asOfMs,
            suspicion: entry?.suspicion
        };
    }

    /** Processes that were heard directly within two beats may speak for others. */
    private isEligible(processId: string): boolean {
        const { identity, timer } = this.environment;
        const known = this.table.find(processId);
        if (processId === identity.processId) {
            return !known?.report.heartbeat.stopping;
        }
        if (!known || known.report.heartbeat.stopping || this.partners.hasFailed(processId)) {
            return false;
        }
        const limitMs = 2 * this.options.heartbeatIntervalMs + this.allowanceMs(known.report.heartbeat);
        return timer.nowMs() - known.asOfMs <= limitMs;
    }

    private beatWith(hasNews: boolean): void {
        if (this.source) {
            this.exchange.setOwn(this.source.heartbeat());
            this.updateStates();
            const partners = this.partners.due(hasNews, this.silentPeers().length > 0);
            partners.forEach(partner => void this.ask(partner.candidates, partner.wanted));
        }
    }

    /** Asks the first candidate; the next one takes over when it fails. */
    private async ask(candidates: readonly LiveMachine[], wanted: readonly string[]): Promise<void> {
        for (const machine of candidates) {
            const isPending = this.pending.has(machine.machineId);
            if (isPending) {
                this.dueAgain.add(machine.machineId);
            }
            if (isPending || await this.askOne(machine, wanted)) {
                return;
            }
        }
    }

    private async askOne(machine: LiveMachine, wanted: readonly string[]): Promise<boolean> {
        const { machineId, address } = machine;
        this.pending.add(machineId);
        this.dueAgain.delete(machineId);
        const sentMs = this.environment.timer.nowMs();
        const beat = this.exchange.composeBeat(machine, wanted, this.partners.domainsFor(machine));
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.Heartbeat,
            beat,
            this.options.beatTimeoutMs
        );
        this.pending.delete(machineId);
        const answer = reply.isOk() ? beatReplySchema.safeParse(reply.value) : undefined;
        if (!answer?.success || answer.data.processId !== machineId) {
            this.exchange.forget(machineId);
            this.partners.noteFailure(machineId);
            if (reply.isErr()) {
                this.suspicions.noteFailure(machineId, reply.error);
            }
            return false;
        }
        this.partners.noteAnswer(machineId);
        this.suspicions.noteAnswer(machineId, sentMs, answer.data.silent ?? []);
        this.receive(answer.data, machine, sentMs);
        if (this.dueAgain.has(machineId)) {
            void this.askOne(machine, wanted);
        }
        return true;
    }

    private receive(reply: BeatReply, machine: LiveMachine, sentMs: number): void {
        const statements = this.exchange.receiveReply(reply, sentMs);
        this.updateStates();
        this.reportEmitter.fire({
            processId: reply.processId,
            incarnation: reply.incarnation,
            address: machine.address,
            sentMs,
            keys: reply.keys,
            statements: [{ processId: reply.processId, ageMs: 0, storeLost: reply.keys.storeLost }, ...statements]
        });
    }

    private composeReply(beat: Beat, source: HeartbeatSource): BeatReply {
        const { identity } = this.environment;
        this.exchange.setOwn(source.heartbeat());
        const silent = this.silentPeers();
        return {
            processId: identity.processId,
            incarnation: identity.incarnation,
            keys: source.keys(),
            ...this.exchange.composeReply(beat, processIds => source.keyStatement(processIds)),
            ...(silent.length > 0 ? { silent } : {})
        };
    }

    private silentPeers(): readonly string[] {
        const { failureDomain, processId } = this.environment.identity;
        const nowMs = this.environment.timer.nowMs();
        return this.table.ofDomain(failureDomain)
            .filter(known => nowMs - this.directlyHeardMs(known) > 2 * this.options.heartbeatIntervalMs)
            .map(known => known.report.heartbeat.processId)
            .filter(id => id !== processId);
    }

    /** In the own failure domain only answers to this process count. */
    private directlyHeardMs(known: KnownReport): number {
        const { processId, failureDomain } = known.report.heartbeat;
        const isNear = failureDomain === this.environment.identity.failureDomain;
        return isNear ? this.suspicions.lastAnsweredMs(processId) ?? known.firstMs : known.asOfMs;
    }

    /** Takes in a heartbeat that brings something new, and passes it on soon. */
    private takeIn(heartbeat: Heartbeat): void {
        this.heartbeatEmitter.fire(heartbeat);
        if (!this.newsPending && this.isDomainRelay) {
            this.newsPending = true;
            this.store.add(this.environment.timer.after(this.options.newsDelayMs, () => {
                this.newsPending = false;
                this.beatWith(true);
            }));
        }
    }

    /** Longer silence is allowed to processes of which only relays tell. */
    private allowanceMs(heartbeat: Heartbeat): number {
        const { identity } = this.environment;
        if (heartbeat.region !== identity.region) {
            return HOPS_OF_RELAYS * (this.options.relayIntervalMs + this.options.regionIntervalMs);
        }
        return heartbeat.failureDomain === identity.failureDomain ? 0 : HOPS_OF_RELAYS * this.options.relayIntervalMs;
    }

    private updateStates(): void {
        const nowMs = this.environment.timer.nowMs();
        const listed = new Set(this.entryMachines.map(machine => machine.machineId));
        for (const known of this.table.all) {
            if (this.isSelf(known)) {
                continue;
            }
            const { heartbeat } = known.report;
            const silenceMs = nowMs - this.directlyHeardMs(known) - this.allowanceMs(heartbeat);
            const isListed = !this.hasLiveList || listed.has(heartbeat.processId);
            this.setState(known, this.judge(heartbeat, silenceMs, isListed));
            if (!isListed && silenceMs >= this.options.deadAfterMs + this.options.liveListLagMs) {
                this.table.remove(heartbeat.processId);
                this.entries.delete(heartbeat.processId);
            }
        }
    }

    private judge(heartbeat: Heartbeat, silenceMs: number, isListed: boolean): PeerEntry {
        if (silenceMs < this.options.suspectAfterMs) {
            return { state: PeerState.Alive };
        }
        const isNear = heartbeat.failureDomain === this.environment.identity.failureDomain;
        const suspicion = this.suspicions.judge(heartbeat.processId, isListed, isNear ? this.witnesses() : []);
        const isDead = silenceMs >= this.options.deadAfterMs && suspicion !== Suspicion.HeardByOthers;
        return { state: isDead ? PeerState.Dead : PeerState.Suspected, suspicion };
    }

    private witnesses(): readonly string[] {
        const { failureDomain } = this.environment.identity;
        const limitMs = this.environment.timer.nowMs() - 2 * this.options.heartbeatIntervalMs;
        return this.table.ofDomain(failureDomain)
            .filter(known => !this.isSelf(known) && known.asOfMs >= limitMs)
            .map(known => known.report.heartbeat.processId);
    }

    private setState(known: KnownReport, next: PeerEntry): void {
        const { processId } = known.report.heartbeat;
        const before = this.entries.get(processId);
        this.entries.set(processId, next);
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
