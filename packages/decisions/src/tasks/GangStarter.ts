import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { SliceState } from "./SliceState.js";

/** Starts all waiting tasks of a gang together, or none. */
export class GangStarter {
    constructor(private readonly state: SliceState) {}

    /** Starts the gang on its reserved workers and on open ones when all of its tasks fit. */
    public tryStart(group: GroupState, nowMs: number): boolean {
        const needed = group.waitingCount;
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
                break;
            }
            fleet.take(worker, demand);
            claimed.push(worker);
        }
        return claimed;
    }
}

function acceptAny(): boolean {
    return true;
}
