import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { RunTimeEstimator } from "../learning/RunTimeEstimator.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import type { SliceState } from "./SliceState.js";

const MAX_SEARCHES_PER_DECISION = 32;

/** Starts short tasks on reserved workers that end before the reservation needs the place. */
export class Backfiller {
    private searchesLeft = 0;
    private endsAtMs = 0;

    constructor(
        private readonly state: SliceState,
        private readonly estimator: RunTimeEstimator,
        private readonly line: PriorityLine
    ) {}

    /** Fills reserved workers from the shapes that found no open worker. */
    public run(nowMs: number): void {
        this.searchesLeft = MAX_SEARCHES_PER_DECISION;
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

    private fill(shape: Shape, nowMs: number): void {
        while (this.searchesLeft > 0) {
            const queue = this.findLeastServed(shape);
            if (queue === undefined || !this.startHead(queue, nowMs)) {
                return;
            }
        }
    }

    /** Returns the queue of the least served team that waits for the shape and has room under its allotment. */
    private findLeastServed(shape: Shape): ShapeQueue | undefined {
        let best: ShapeQueue | undefined;
        for (const queue of shape.parkedQueues) {
            const isCandidate = queue.line.line === this.line
                && !queue.isEmpty
                && queue.line.team.hasRoomBesideHeld(shape.resources);
            if (isCandidate && (best === undefined || queue.line.team.weightedShare < best.line.team.weightedShare)) {
                best = queue;
            }
        }
        return best;
    }

    private startHead(queue: ShapeQueue, nowMs: number): boolean {
        const group = queue.peek()!;
        const worker = this.findWorker(group, nowMs);
        if (worker === undefined) {
            return false;
        }
        this.state.startNext(group, worker, nowMs);
        if (group.waitingCount === 0) {
            queue.line.remove(group);
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
