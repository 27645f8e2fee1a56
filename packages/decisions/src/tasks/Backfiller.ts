import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import { conservativeRunTimeMs } from "../learning/RunTimeEstimator.js";
import { isServedBefore } from "../teams/FairQueue.js";
import type { PriorityClassQueue } from "../teams/PriorityClassQueue.js";
import type { SliceState } from "./SliceState.js";

/** Starts short tasks on reserved workers if they are expected to end before the reservation starts. */
export class Backfiller {
    /** The conservative run time of a task times `margin` has to fit before the start of the reservation. */
    constructor(
        private readonly state: SliceState,
        private readonly classQueue: PriorityClassQueue,
        private readonly margin: number
    ) {}

    /** Backfills reserved workers with tasks of the sizes that no unreserved worker has capacity for. */
    public run(workers: readonly WorkerNode[], nowMs: number): void {
        for (const worker of workers) {
            if (worker.acceptsTasks && worker.reservation !== undefined) {
                this.backfill(worker, nowMs);
            }
        }
    }

    private backfill(worker: WorkerNode, nowMs: number): void {
        const mustEndByMs = worker.reservation!.startAtMs;
        for (let queue = this.findNext(worker, nowMs, mustEndByMs); queue !== undefined;) {
            const group = queue.peek()!;
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                this.classQueue.remove(group);
            }
            queue = worker.acceptsTasks ? this.findNext(worker, nowMs, mustEndByMs) : undefined;
        }
    }

    /** Returns the least served team's queue whose next task fits and is expected to end in time. */
    private findNext(worker: WorkerNode, nowMs: number, mustEndByMs: number): ShapeQueue | undefined {
        let best: ShapeQueue | undefined;
        for (const shape of this.state.shapes.blockedShapes) {
            const queue = worker.fits(shape.resources) ? this.classQueue.find(shape)?.peek() : undefined;
            if (queue === undefined || (best !== undefined && !isServedBefore(queue, best))) {
                continue;
            }
            const endsInTime = nowMs + this.margin * conservativeRunTimeMs(queue.peek()!) <= mustEndByMs;
            if (endsInTime && queue.team.fitsUnreservedAllotment(shape.resources)) {
                best = queue;
            }
        }
        return best;
    }
}
