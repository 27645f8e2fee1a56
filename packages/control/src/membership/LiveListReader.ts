import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { type LiveList, type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { LinkKind } from "../peer/TrafficCounter.js";
import type { ProcessIdentity } from "../process/ProcessEnvironment.js";

/** Reads the live list of the platform and caches the latest result. */
export class LiveListReader implements Disposable {
    private readonly readEmitter = new Emitter<readonly LiveMachine[]>();
    private allMachines: readonly LiveMachine[] = [];
    private otherProcesses: readonly LiveMachine[] = [];
    private lastSentMs: number | undefined;

    /** Fires after each successful read. */
    public readonly onRead = this.readEmitter.event;

    constructor(
        private readonly liveList: LiveList,
        private readonly timer: TimerService,
        private readonly ownProcessId: string
    ) {}

    /** All machines of the latest read. */
    public get machines(): readonly LiveMachine[] {
        return this.allMachines;
    }

    /** Machines that run the other processes (role `Entry`). */
    public get peerMachines(): readonly LiveMachine[] {
        return this.otherProcesses;
    }

    /** Time since the latest successful read was started; infinite before the first one. */
    public get ageMs(): number {
        return this.lastSentMs === undefined ? Infinity : this.timer.nowMs() - this.lastSentMs;
    }

    /** Kind of the link from a process to an address; an unlisted address counts as in the same failure domain. */
    public linkKindOf(address: string, identity: ProcessIdentity): LinkKind {
        const machine = this.otherProcesses.find(entry => entry.address === address);
        if (!machine || machine.failureDomain === identity.failureDomain) {
            return LinkKind.Domain;
        }
        return machine.region === identity.region ? LinkKind.Region : LinkKind.Remote;
    }

    /** Reads the list now; returns false when the read fails. */
    public async read(): Promise<boolean> {
        const sentMs = this.timer.nowMs();
        const machines = await this.liveList.read();
        if (machines.isErr()) {
            return false;
        }
        this.lastSentMs = Math.max(sentMs, this.lastSentMs ?? sentMs);
        this.allMachines = machines.value;
        this.otherProcesses = machines.value.filter(machine =>
            machine.role === MachineRole.Entry && machine.machineId !== this.ownProcessId
        );
        this.readEmitter.fire(machines.value);
        return true;
    }

    public dispose(): void {
        this.readEmitter.dispose();
    }
}
