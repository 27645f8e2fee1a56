import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { RunTimeEstimator } from "../learning/RunTimeEstimator.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import type { SliceState } from "./SliceState.js";

/** Starts short tasks on reserved workers that end before the reservation needs the place. */
export class Backfiller {
    private searchesLeft = 0;
    private endsAtMs = 0;

    constructor(
        private readonly state: SliceState,
        private readonly estimator: RunTimeEstimator,
        private readonly line: PriorityLine,
        private readonly maxSearches: number
    ) {}

    /** Fills reserved workers from the shapes that found no open worker. */
    public run(nowMs: number): void {
        this.searchesLeft = this.maxSearches;
        if (this.state.fleet.reservedWorkerCount === 0) {
            return;
        }
        for (const shape of this.state.shapes.blockedShapes) {
            this.fill(shape, nowMs);
            if (this.searchesLeft <= 0) {
                return;
            }
        }
    }

    /** Starts tasks of one size, the least served team first. */
    private fill(shape: Shape, nowMs: number): void {
        const shapeLine = this.line.find(shape);
        while (this.searchesLeft > 0) {
            const queue = shapeLine?.peek();
            if (
                queue === undefined || !queue.team.hasRoomBesideHeld(shape.resources) || !this.startHead(queue, nowMs)
            ) {
                return;
            }
        }
    }

    private startHead(queue: ShapeQueue, nowMs: number): boolean {
        const group = queue.peek()!;
        const worker = this.findWorker(group, nowMs);
        if (worker === undefined) {
            return false;
        }
        this.state.startNext(group, worker, nowMs);
        if (group.waitingCount === 0) {
            this.line.remove(group);
        }
        return true;
    }

    private findWorker(group: GroupState, nowMs: number): WorkerNode | undefined {
        this.searchesLeft--;
        this.endsAtMs = nowMs + this.estimator.longMs(group.group);
        return this.state.fleet.findReserved(group.shape.resources, this.endsInTime);
    }

    private readonly endsInTime = (worker: WorkerNode): boolean => worker.reservation!.startAtMs >= this.endsAtMs;
}
