import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { type MembershipController, PeerState } from "../membership/MembershipController.js";
import type { Heartbeat } from "../peer/PeerMessages.js";

/** Last known owner of a slice. */
export interface SliceLocation {
    readonly sliceId: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly processId: string;
    readonly address: string;
    readonly epoch: number;
    /** Number of active replicas by service: running or starting, and not being stopped. */
    readonly services: Readonly<Record<string, number>>;
}

/** Maps slices to their owners, from the heartbeats of all processes. */
export class SliceDirectory implements Disposable {
    private readonly store = new DisposableStore();
    private readonly locations = new Map<string, SliceLocation>();
    private readonly changeEmitter = this.store.add(new Emitter<SliceLocation>());

    /** Fires with the new location of each slice whose epoch changes, as with every change of owner. */
    public readonly onChange = this.changeEmitter.event;

    constructor(private readonly membership: MembershipController) {
        this.store.add(membership.onHeartbeat(heartbeat => this.updateFrom(heartbeat)));
    }

    /** Updates the locations of the slices that a heartbeat reports as owned; reports of an older epoch are ignored. */
    public updateFrom(heartbeat: Heartbeat): void {
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

    /** Returns the last known owner of a slice. */
    public locate(sliceId: string): SliceLocation | undefined {
        return this.locations.get(sliceId);
    }

    /**
     * Returns the slices whose owner is not presumed dead: first those of the given failure domain, then those of the
     * given region, then the others.
     */
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
