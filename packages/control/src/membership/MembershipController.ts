import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { ok } from "neverthrow";
import type { PeerClient } from "../peer/PeerClient.js";
import { type Beat, beatSchema, type Heartbeat, type KeyStatus, PeerMethod } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";

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
    readonly lastHeardMs: number;
}

interface PeerEntry {
    state: PeerState;
    heartbeat: Heartbeat;
    lastHeardMs: number;
}

/** What a process said at most this long before it was asked. */
export interface ProcessStatement {
    readonly processId: string;
    readonly ageMs: number;
    readonly storeLost: boolean;
}

/** Answer of another process to a heartbeat that was sent from here. */
export interface HeartbeatReport {
    readonly processId: string;
    readonly incarnation: string;
    readonly address: string;
    /** Monotonic time at which the process was asked. */
    readonly sentMs: number;
    readonly keys: KeyStatus;
    readonly statements: readonly ProcessStatement[];
}

/** Composes the heartbeat of this process. */
export type HeartbeatSource = () => Beat;

/** Knows the live list and the other processes from their heartbeats. */
export class MembershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly entries = new Map<string, PeerEntry>();
    private readonly heartbeatEmitter = this.store.add(new Emitter<Heartbeat>());
    private readonly reportEmitter = this.store.add(new Emitter<HeartbeatReport>());
    private readonly peerStateEmitter = this.store.add(new Emitter<PeerView>());
    private readonly liveListEmitter = this.store.add(new Emitter<readonly LiveMachine[]>());
    private liveMachines: readonly LiveMachine[] = [];
    private otherEntries: readonly LiveMachine[] = [];
    private liveListReadMs: number | undefined;
    private readonly pending = new Set<string>();
    /** Addresses whose heartbeat was due while another one was under way. */
    private readonly dueAgain = new Set<string>();
    private heartbeatSource: HeartbeatSource | undefined;

    /** Tells each heartbeat that was received. */
    public readonly onHeartbeat = this.heartbeatEmitter.event;
    /** Tells each answer to a heartbeat. */
    public readonly onReport = this.reportEmitter.event;
    /** Tells each change of the state of another process. */
    public readonly onPeerState = this.peerStateEmitter.event;
    /** Tells each reading of the live list. */
    public readonly onLiveList = this.liveListEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient
    ) {
        peerClient.serve(PeerMethod.Heartbeat, beatSchema, async beat => {
            this.receive(beat.heartbeat);
            return ok(this.heartbeatSource!());
        });
    }

    /** Machines of the last reading of the live list. */
    public get machines(): readonly LiveMachine[] {
        return this.liveMachines;
    }

    /** Tells whether the live list was read at least once. */
    public get hasLiveList(): boolean {
        return this.liveListReadMs !== undefined;
    }

    /** Time since the request of the last reading of the live list. */
    public get liveListAgeMs(): number {
        return this.liveListReadMs === undefined ? Infinity : this.environment.timer.nowMs() - this.liveListReadMs;
    }

    /** Other processes that were heard. */
    public get peers(): readonly PeerView[] {
        return [...this.entries.values()];
    }

    /** Finds another process by its id. */
    public peer(processId: string): PeerView | undefined {
        return this.entries.get(processId);
    }

    /** Processes of the live list other than this one. */
    public get entryMachines(): readonly LiveMachine[] {
        return this.otherEntries;
    }

    /** Begins to read the live list and to send heartbeats. */
    public start(heartbeatSource: HeartbeatSource): void {
        this.heartbeatSource = heartbeatSource;
        const { timer } = this.environment;
        this.store.add(timer.every(this.options.liveListIntervalMs, () => void this.readLiveList()));
        this.store.add(timer.every(this.options.heartbeatIntervalMs, () => this.beat()));
        void this.readLiveList().then(() => this.beat());
    }

    /** Sends heartbeats now, so that news spread at once. */
    public beat(): void {
        this.updateStates();
        for (const machine of this.entryMachines) {
            void this.beatTo(machine.address);
        }
    }

    /** Reads the live list now; false when it cannot be read. */
    public async readLiveList(): Promise<boolean> {
        const sentMs = this.environment.timer.nowMs();
        const machines = await this.environment.liveList.read();
        if (machines.isErr()) {
            return false;
        }
        this.liveListReadMs = Math.max(sentMs, this.liveListReadMs ?? sentMs);
        this.liveMachines = machines.value;
        this.otherEntries = machines.value.filter(machine =>
            machine.role === MachineRole.Entry && machine.machineId !== this.environment.identity.processId
        );
        this.liveListEmitter.fire(machines.value);
        return true;
    }

    public dispose(): void {
        this.store.dispose();
    }

    private async beatTo(address: string): Promise<void> {
        if (this.pending.has(address)) {
            this.dueAgain.add(address);
            return;
        }
        this.pending.add(address);
        this.dueAgain.delete(address);
        const sentMs = this.environment.timer.nowMs();
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.Heartbeat,
            this.heartbeatSource!(),
            this.options.peerTimeoutMs
        );
        this.pending.delete(address);
        if (this.dueAgain.has(address) && reply.isOk()) {
            void this.beatTo(address);
        }
        const beat = reply.isOk() ? beatSchema.safeParse(reply.value) : undefined;
        if (beat?.success) {
            this.receive(beat.data.heartbeat);
            this.report(beat.data, sentMs);
        }
    }

    private report(beat: Beat, sentMs: number): void {
        const { heartbeat, keys } = beat;
        const { processId, incarnation, address } = heartbeat;
        const statements = [{ processId, ageMs: 0, storeLost: keys.storeLost }];
        this.reportEmitter.fire({ processId, incarnation, address, sentMs, keys, statements });
    }

    private receive(heartbeat: Heartbeat): void {
        const nowMs = this.environment.timer.nowMs();
        const entry = this.entries.get(heartbeat.processId);
        if (!entry) {
            this.entries.set(heartbeat.processId, { state: PeerState.Alive, heartbeat, lastHeardMs: nowMs });
            this.tellState(this.entries.get(heartbeat.processId)!);
        }
        else {
            entry.heartbeat = heartbeat;
            entry.lastHeardMs = nowMs;
            this.setState(entry, PeerState.Alive);
        }
        this.heartbeatEmitter.fire(heartbeat);
    }

    private updateStates(): void {
        const nowMs = this.environment.timer.nowMs();
        for (const entry of this.entries.values()) {
            const silenceMs = nowMs - entry.lastHeardMs;
            if (silenceMs >= this.options.deadAfterMs) {
                this.setState(entry, PeerState.Dead);
            }
            else if (silenceMs >= this.options.suspectAfterMs) {
                this.setState(entry, PeerState.Suspected);
            }
        }
    }

    private setState(entry: PeerEntry, state: PeerState): void {
        if (entry.state !== state) {
            entry.state = state;
            this.tellState(entry);
        }
    }

    private tellState(entry: PeerEntry): void {
        const definition = {
            [PeerState.Alive]: EVENTS.peerAlive,
            [PeerState.Suspected]: EVENTS.peerSuspected,
            [PeerState.Dead]: EVENTS.peerDead
        }[entry.state];
        this.environment.log.write(definition, { peer: entry.heartbeat.processId });
        this.peerStateEmitter.fire(entry);
    }
}
