import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { type MembershipController, PeerState, type PeerView } from "../membership/MembershipController.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SuccessorCandidates } from "./SuccessorList.js";

/** State of the other control processes, looked up by owner name (process id and incarnation). */
export class DomainPeers implements Disposable {
    private readonly store = new DisposableStore();
    private readonly missingSinceMs = new Map<string, number>();
    private readonly startedMs: number;

    constructor(
        private readonly environment: Pick<ProcessEnvironment, "identity" | "timer">,
        private readonly options: ProcessOptions,
        private readonly membership: MembershipController
    ) {
        this.startedMs = environment.timer.nowMs();
        this.store.add(membership.onLiveList(machines => this.updateMissing(machines)));
    }

    /**
     * Live processes that may be named successors of a slice of this failure domain, and a check for processes that
     * have ended.
     */
    public get candidates(): SuccessorCandidates {
        return { liveOwnerNames: this.liveOwnerNames, hasEnded: ownerName => this.hasEnded(ownerName) };
    }

    /** Returns the process with this owner name, or undefined when no heartbeat of this incarnation is known. */
    public find(ownerName: string): PeerView | undefined {
        return this.membership.peers.find(peer => ownerNameOf(peer.heartbeat) === ownerName);
    }

    /** Returns whether a process is known, not dead and not stopping. */
    public isServing(ownerName: string): boolean {
        const peer = this.find(ownerName);
        return peer !== undefined && peer.state !== PeerState.Dead && !peer.heartbeat.stopping;
    }

    /**
     * Returns whether a process is presumed dead: its heartbeats have stopped, another incarnation has replaced it, or
     * no heartbeat of it has arrived within `deadAfterMs` of the start of this process.
     */
    public isPresumedDead(ownerName: string): boolean {
        const peer = this.find(ownerName);
        if (peer) {
            return peer.state === PeerState.Dead;
        }
        const ageMs = this.environment.timer.nowMs() - this.startedMs;
        return this.isReplaced(ownerName) || ageMs >= this.options.deadAfterMs;
    }

    /** Returns whether a process that is not dead reports that it owns a slice in this epoch or a later one. */
    public isOwned(sliceId: string, epoch: number): boolean {
        return this.membership.peers.some(peer =>
            peer.state !== PeerState.Dead
            && peer.heartbeat.slices.some(slice => slice.sliceId === sliceId && slice.epoch >= epoch)
        );
    }

    /** Returns whether a process that is not dead reports a newer version of the slice's row. */
    public hasNewerRow(sliceId: string, version: number): boolean {
        return this.membership.peers.some(peer =>
            peer.state !== PeerState.Dead
            && peer.heartbeat.slices.some(slice => slice.sliceId === sliceId && (slice.rowVersion ?? 0) > version)
        );
    }

    /** Whether this process has the lowest process id among the live processes of its failure domain. */
    public get hasLowestProcessId(): boolean {
        const { processId } = this.environment.identity;
        return this.liveOwnerNames.every(ownerName => processIdOf(ownerName) > processId);
    }

    public dispose(): void {
        this.store.dispose();
    }

    private get liveOwnerNames(): readonly string[] {
        const { failureDomain } = this.environment.identity;
        return this.membership.peers
            .filter(peer => peer.state === PeerState.Alive && !peer.heartbeat.stopping)
            .filter(peer => peer.heartbeat.failureDomain === failureDomain)
            .map(peer => ownerNameOf(peer.heartbeat))
            .sort();
    }

    /**
     * Returns whether a process has certainly ended: it is stopping and owns no slice, another incarnation has replaced
     * it, or its machine has been missing from the live list for longer than the list's maximum lag.
     */
    private hasEnded(ownerName: string): boolean {
        const missingSinceMs = this.missingSinceMs.get(processIdOf(ownerName));
        const isGone = missingSinceMs !== undefined
            && this.environment.timer.nowMs() - missingSinceMs >= this.options.liveListLagMs;
        const heartbeat = this.find(ownerName)?.heartbeat;
        const hasStopped = heartbeat !== undefined && heartbeat.stopping && heartbeat.slices.length === 0;
        return this.isReplaced(ownerName) || isGone || hasStopped;
    }

    private isReplaced(ownerName: string): boolean {
        const peer = this.membership.peer(processIdOf(ownerName));
        return peer !== undefined && ownerNameOf(peer.heartbeat) !== ownerName;
    }

    private updateMissing(machines: readonly LiveMachine[]): void {
        const listed = new Set(machines.map(machine => machine.machineId));
        const knownProcessIds = this.membership.peers.map(peer => peer.heartbeat.processId);
        for (const processId of knownProcessIds) {
            if (listed.has(processId)) {
                this.missingSinceMs.delete(processId);
            }
            else if (!this.missingSinceMs.has(processId)) {
                this.missingSinceMs.set(processId, this.environment.timer.nowMs());
            }
        }
    }
}

function processIdOf(ownerName: string): string {
    return ownerName.slice(0, ownerName.lastIndexOf("/"));
}
