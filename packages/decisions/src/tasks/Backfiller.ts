import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import { conservativeRunTimeMs } from "../learning/RunTimeEstimator.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import { isServedBefore } from "../teams/ShapeLine.js";
import type { SliceState } from "./SliceState.js";

/** Starts short tasks on reserved workers that end before the reservation needs the place. */
export class Backfiller {
    /** The long run time of a task, times the margin, has to fit before the reservation needs the place. */
    constructor(
        private readonly state: SliceState,
        private readonly line: PriorityLine,
        private readonly margin: number
    ) {}

    /** Fills the reserved workers that gained room from the sizes that found no open worker. */
    public run(gains: readonly WorkerNode[], nowMs: number): void {
        for (const worker of gains) {
            if (worker.takesTasks && worker.reservation !== undefined) {
                this.fill(worker, nowMs);
            }
        }
    }

    private fill(worker: WorkerNode, nowMs: number): void {
        const untilMs = worker.reservation!.startAtMs;
        for (let queue = this.findNext(worker, nowMs, untilMs); queue !== undefined;) {
            const group = queue.peek()!;
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                this.line.remove(group);
            }
            queue = worker.takesTasks ? this.findNext(worker, nowMs, untilMs) : undefined;
        }
    }

    /** Returns the least served team's queue whose next task fits and ends in time. */
    private findNext(worker: WorkerNode, nowMs: number, untilMs: number): ShapeQueue | undefined {
        let best: ShapeQueue | undefined;
        for (const shape of this.state.shapes.blockedShapes) {
            const queue = worker.fits(shape.resources) ? this.line.find(shape)?.peek() : undefined;
            if (queue === undefined || (best !== undefined && !isServedBefore(queue, best))) {
                continue;
            }
            const endsInTime = nowMs + this.margin * conservativeRunTimeMs(queue.peek()!) <= untilMs;
            if (endsInTime && queue.team.hasRoomBesideHeld(shape.resources)) {
                best = queue;
            }
        }
        return best;
    }
}
