import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import { ok } from "neverthrow";
import type { PeerClient } from "../peer/PeerClient.js";
import { type Heartbeat, heartbeatSchema, PeerMethod } from "../peer/PeerMessages.js";
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

/** Composes the heartbeat of this process. */
export type HeartbeatSource = () => Heartbeat;

/** Knows the live list and the other processes from their heartbeats. */
export class MembershipController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly entries = new Map<string, PeerEntry>();
    private readonly heartbeatEmitter = this.store.add(new Emitter<Heartbeat>());
    private readonly peerStateEmitter = this.store.add(new Emitter<PeerView>());
    private readonly liveListEmitter = this.store.add(new Emitter<readonly LiveMachine[]>());
    private liveMachines: readonly LiveMachine[] = [];
    private liveListReadMs: number | undefined;
    private readonly pending = new Set<string>();
    /** Addresses whose heartbeat was due while another one was under way. */
    private readonly dueAgain = new Set<string>();
    private heartbeatSource: HeartbeatSource | undefined;

    /** Tells each heartbeat that was received. */
    public readonly onHeartbeat = this.heartbeatEmitter.event;
    /** Tells each change of the state of another process. */
    public readonly onPeerState = this.peerStateEmitter.event;
    /** Tells each reading of the live list. */
    public readonly onLiveList = this.liveListEmitter.event;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient
    ) {
        peerClient.serve(PeerMethod.Heartbeat, heartbeatSchema, async heartbeat => {
            this.receive(heartbeat);
            return ok(this.composeHeartbeat());
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
        const { processId } = this.environment.identity;
        return this.liveMachines.filter(machine =>
            machine.role === MachineRole.Entry && machine.machineId !== processId
        );
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

    public dispose(): void {
        this.store.dispose();
    }

    private composeHeartbeat(): Heartbeat {
        return this.heartbeatSource!();
    }

    private async beatTo(address: string): Promise<void> {
        if (this.pending.has(address)) {
            this.dueAgain.add(address);
            return;
        }
        this.pending.add(address);
        this.dueAgain.delete(address);
        const message = this.composeHeartbeat();
        const reply = await this.peerClient.call<unknown>(
            address,
            PeerMethod.Heartbeat,
            message,
            this.options.peerTimeoutMs
        );
        this.pending.delete(address);
        if (this.dueAgain.has(address) && reply.isOk()) {
            void this.beatTo(address);
        }
        const heartbeat = reply.isOk() ? heartbeatSchema.safeParse(reply.value) : undefined;
        if (heartbeat?.success) {
            this.receive(heartbeat.data);
        }
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

    private async readLiveList(): Promise<void> {
        const machines = await this.environment.liveList.read();
        if (machines.isOk()) {
            this.liveListReadMs = this.environment.timer.nowMs();
            this.liveMachines = machines.value;
            this.liveListEmitter.fire(machines.value);
        }
    }
}
