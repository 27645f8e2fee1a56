import { countFitting } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { SliceState } from "./SliceState.js";

/** Starts all waiting tasks of a gang together, or none. */
export class GangStarter {
    constructor(private readonly state: SliceState) {}

    /** Starts the gang on its reserved workers and on unreserved ones if all of its waiting tasks fit. */
    public tryStart(group: GroupState, nowMs: number): boolean {
        const needed = group.waitingCount;
        if (!this.mayFit(group)) {
            return false;
        }
        if (!group.team.fitsAllotment(group.shape.resources, needed)) {
            return false;
        }
        const allocated = this.allocateWorkers(group, needed);
        for (const worker of allocated) {
            this.state.fleet.release(worker, group.shape.resources);
        }
        if (allocated.length < needed) {
            return false;
        }
        for (const worker of allocated) {
            this.state.startNext(group, worker, nowMs);
        }
        return true;
    }

    /** Cheap pre-check: all tasks fit on the reserved workers, or an unreserved worker may fit at least one. */
    private mayFit(group: GroupState): boolean {
        const { shape, reservation } = group;
        if (reservation === undefined) {
            return !shape.blocked;
        }
        let fitting = 0;
        for (const worker of reservation.taskCounts.keys()) {
            fitting += worker.acceptsTasks ? countFitting(worker.copyFree(), shape.resources, group.waitingCount) : 0;
        }
        return fitting >= group.waitingCount || !shape.blocked;
    }

    /** Tentatively allocates resources for up to `needed` tasks; the caller releases them. */
    private allocateWorkers(group: GroupState, needed: number): readonly WorkerNode[] {
        const demand = group.shape.resources;
        const { fleet } = this.state;
        const allocated: WorkerNode[] = [];
        for (const worker of group.reservation?.taskCounts.keys() ?? []) {
            while (allocated.length < needed && worker.acceptsTasks && worker.fits(demand)) {
                fleet.allocate(worker, demand);
                allocated.push(worker);
            }
        }
        while (allocated.length < needed) {
            const worker = fleet.findUnreserved(demand, acceptAny);
            if (worker === undefined) {
                this.blockIfNoUnreservedFits(group, allocated);
                break;
            }
            fleet.allocate(worker, demand);
            allocated.push(worker);
        }
        return allocated;
    }

    /** Blocks the task size if no unreserved worker was allocated, as then none fits a single task. */
    private blockIfNoUnreservedFits(group: GroupState, allocated: readonly WorkerNode[]): void {
        const unreservedAllocated = allocated.some(worker => worker.reservation === undefined);
        if (!unreservedAllocated && !group.shape.blocked) {
            this.state.shapes.block(group.shape);
        }
    }
}

function acceptAny(): boolean {
    return true;
}
