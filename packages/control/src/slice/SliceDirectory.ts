import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { Heartbeat } from "../peer/PeerMessages.js";

/** Owner of a slice as far as it is known here. */
export interface SliceLocation {
    readonly sliceId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly processId: string;
    readonly address: string;
    readonly epoch: number;
    /** Running replicas by service. */
    readonly services: Readonly<Record<string, number>>;
}

/** Finds the owners of slices from the heartbeats of all processes. */
export class SliceDirectory implements Disposable {
    private readonly store = new DisposableStore();
    private readonly locations = new Map<string, SliceLocation>();
    private readonly changeEmitter = this.store.add(new Emitter<SliceLocation>());

    /** Tells each slice whose owner or epoch changes. */
    public readonly onChange = this.changeEmitter.event;

    constructor(private readonly membership: MembershipController) {
        this.store.add(membership.onHeartbeat(heartbeat => this.takeIn(heartbeat)));
    }

    /** Takes in the slices that a process owns. */
    public takeIn(heartbeat: Heartbeat): void {
        for (const slice of heartbeat.slices) {
            const known = this.locations.get(slice.sliceId);
            if (known && known.epoch > slice.epoch) {
                continue;
            }
            const location: SliceLocation = {
                sliceId: slice.sliceId,
                failureDomain: heartbeat.failureDomain,
                region: heartbeat.region,
                processId: heartbeat.processId,
                address: heartbeat.address,
                epoch: slice.epoch,
                services: slice.services
            };
            this.locations.set(slice.sliceId, location);
            if (known?.epoch !== slice.epoch) {
                this.changeEmitter.fire(location);
            }
        }
    }

    /** Finds the owner of a slice. */
    public locate(sliceId: string): SliceLocation | undefined {
        return this.locations.get(sliceId);
    }

    /** Slices whose owner is not taken as dead, the own failure domain first, then the own region. */
    public reachable(failureDomain: string, region: string): readonly SliceLocation[] {
        const rank = (location: SliceLocation): number =>
            location.failureDomain === failureDomain ? 0 : location.region === region ? 1 : 2;
        return [...this.locations.values()]
            .filter(location => this.membership.peer(location.processId)?.state !== PeerState.Dead)
            .sort((left, right) => rank(left) - rank(right) || left.sliceId.localeCompare(right.sliceId));
    }

    /** All known slices. */
    public get all(): readonly SliceLocation[] {
        return [...this.locations.values()];
    }

    public dispose(): void {
        this.store.dispose();
    }
}
