import type {
    ConfigStatusReply,
    PeerStatus,
    SliceStatus,
    StatusReply,
    TimelineReply
} from "@skylarkpath/common/api/OperatorsApi";
import type { TimelineEvent } from "@skylarkpath/common/log/EventLog";
import { ok } from "neverthrow";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { emptySchema, PeerMethod, timelineSchema } from "../peer/PeerMessages.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SkylarkProcess } from "../process/SkylarkProcess.js";
import { mergeEvents, type Timeline, type TimelineQuery } from "../timeline/Timeline.js";

interface TimelinePart {
    readonly events: readonly TimelineEvent[];
}

interface StatusPart {
    readonly slices: readonly SliceStatus[];
}

interface CollectedParts<T> {
    readonly parts: readonly T[];
    readonly notReached: readonly string[];
}

/** Answers operators' queries over all reachable processes and lists the processes that were not reached. */
export class OperatorController {
    private readonly membership: MembershipController;
    private readonly peerClient: PeerClient;

    constructor(
        private readonly process: SkylarkProcess,
        private readonly timeline: Timeline,
        private readonly options: ProcessOptions
    ) {
        this.membership = process.membership;
        this.peerClient = process.peerClient;
        this.peerClient.serve(PeerMethod.ReadTimeline, timelineSchema, async query => {
            const part: TimelinePart = { events: timeline.read(query) };
            return ok(part);
        });
        this.peerClient.serve(PeerMethod.ReadStatus, emptySchema, async () => {
            const part: StatusPart = { slices: this.ownSlices() };
            return ok(part);
        });
    }

    /** Returns the configuration version in force at each process. */
    public configStatus(): ConfigStatusReply {
        const { identity } = this.process.environment;
        const own = {
            processId: identity.processId,
            failureDomain: identity.failureDomain,
            version: this.process.config.version,
            reached: true
        };
        const others = this.membership.peerMachines.map(machine => {
            const peer = this.membership.peer(machine.machineId);
            return {
                processId: machine.machineId,
                failureDomain: machine.failureDomain,
                version: peer?.heartbeat.configVersion ?? 0,
                reached: peer?.state === PeerState.Alive
            };
        });
        const processes = [own, ...others];
        return { version: Math.max(...processes.map(entry => entry.version)), processes };
    }

    /** Returns the state of this process, of its peers and of all slices whose owners are reachable. */
    public async status(): Promise<StatusReply> {
        const { identity } = this.process.environment;
        const collected = await this.collectFromPeers<StatusPart>(PeerMethod.ReadStatus, {});
        return {
            processId: identity.processId,
            failureDomain: identity.failureDomain,
            ready: this.process.isReady,
            configVersion: this.process.config.version,
            storeReachable: this.process.isStoreReachable,
            peers: this.peers(),
            slices: [...this.ownSlices(), ...collected.parts.flatMap(part => part.slices)],
            notReached: collected.notReached
        };
    }

    /** Returns the merged timeline of all reachable processes. */
    public async readTimeline(query: TimelineQuery): Promise<TimelineReply> {
        const collected = await this.collectFromPeers<TimelinePart>(PeerMethod.ReadTimeline, query);
        const parts = collected.parts.map(part => part.events);
        return { events: mergeEvents([this.timeline.read(query), ...parts]), notReached: collected.notReached };
    }

    private ownSlices(): readonly SliceStatus[] {
        return this.process.ownedSlices.map(slice => slice.status());
    }

    private peers(): readonly PeerStatus[] {
        return this.membership.peers.map(peer => ({
            processId: peer.heartbeat.processId,
            failureDomain: peer.heartbeat.failureDomain,
            region: peer.heartbeat.region,
            state: peer.state,
            configVersion: peer.heartbeat.configVersion
        }));
    }

    private async collectFromPeers<T>(method: PeerMethod, message: object): Promise<CollectedParts<T>> {
        const parts: T[] = [];
        const notReached: string[] = [];
        await Promise.all(this.membership.peerMachines.map(async machine => {
            const reply = await this.peerClient.call<T>(machine.address, method, message, this.options.peerTimeoutMs);
            if (reply.isOk()) {
                parts.push(reply.value);
            }
            else {
                notReached.push(machine.machineId);
            }
        }));
        return { parts, notReached: notReached.sort() };
    }
}
