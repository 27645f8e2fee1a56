import { placesIn } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { SliceState } from "./SliceState.js";

/** Starts all waiting tasks of a gang together, or none. */
export class GangStarter {
    constructor(private readonly state: SliceState) {}

    /** Starts the gang on its reserved workers and on open ones when all of its tasks fit. */
    public tryStart(group: GroupState, nowMs: number): boolean {
        const needed = group.waitingCount;
        if (!this.mayFit(group)) {
            return false;
        }
        if (!group.team.hasRoom(group.shape.resources, needed)) {
            return false;
        }
        const workers = this.claimPlaces(group, needed);
        for (const worker of workers) {
            this.state.fleet.give(worker, group.shape.resources);
        }
        if (workers.length < needed) {
            return false;
        }
        for (const worker of workers) {
            this.state.startNext(group, worker, nowMs);
        }
        return true;
    }

    /** Cheap test: the first place, or the reserved ones, must be there. */
    private mayFit(group: GroupState): boolean {
        const { shape, reservation } = group;
        if (reservation === undefined) {
            return !shape.blocked;
        }
        let ready = 0;
        for (const worker of reservation.places.keys()) {
            ready += worker.takesTasks ? placesIn(worker.copyFree(), shape.resources, group.waitingCount) : 0;
        }
        return ready >= group.waitingCount || !shape.blocked;
    }

    /** Takes up to the needed places for a trial; the caller gives them back. */
    private claimPlaces(group: GroupState, needed: number): readonly WorkerNode[] {
        const demand = group.shape.resources;
        const { fleet } = this.state;
        const claimed: WorkerNode[] = [];
        for (const worker of group.reservation?.places.keys() ?? []) {
            while (claimed.length < needed && worker.takesTasks && worker.fits(demand)) {
                fleet.take(worker, demand);
                claimed.push(worker);
            }
        }
        while (claimed.length < needed) {
            const worker = fleet.findBest(demand, acceptAny);
            if (worker === undefined) {
                this.blockWhenNoneTaken(group, claimed);
                break;
            }
            fleet.take(worker, demand);
            claimed.push(worker);
        }
        return claimed;
    }

    /** No open worker has room for one task when none was taken for the trial. */
    private blockWhenNoneTaken(group: GroupState, claimed: readonly WorkerNode[]): void {
        const open = claimed.some(worker => worker.reservation === undefined);
        if (!open && !group.shape.blocked) {
            this.state.shapes.block(group.shape);
        }
    }
}

function acceptAny(): boolean {
    return true;
}
