import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { Shape } from "../groups/Shape.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { PriorityClassQueue } from "./PriorityClassQueue.js";

/** Fair queue over the teams' queues for one task size in one priority class; the least served team comes first. */
export class FairQueue implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    private readonly queues = new IndexedHeap<ShapeQueue>(isServedBefore);

    constructor(public readonly shape: Shape, public readonly classQueue: PriorityClassQueue) {}

    /** Returns the queue of the least served team, skipping empty and parked queues. */
    public peek(): ShapeQueue | undefined {
        return this.queues.peek();
    }

    /** All queues that are neither empty nor parked, in no particular order. */
    public values(): readonly ShapeQueue[] {
        return this.queues.values();
    }

    /** Adds, moves or removes a queue to match its state. */
    public update(queue: ShapeQueue): void {
        if (queue.isEmpty || queue.parked) {
            this.queues.remove(queue);
        }
        else if (queue.heapIndex === NOT_IN_HEAP) {
            this.queues.push(queue);
        }
        else {
            this.queues.update(queue);
        }
        this.classQueue.update(this);
    }

    /** Restores the order after the shares of all teams changed. */
    public updateAll(): void {
        this.queues.updateAll();
    }
}

/** Orders queues by weighted dominant share of the team, then by latest start that meets the deadline; lowest first. */
export function isServedBefore(left: ShapeQueue, right: ShapeQueue): boolean {
    const difference = left.team.weightedShare - right.team.weightedShare;
    return difference < 0 || (difference === 0 && left.headLatestStartAtMs < right.headLatestStartAtMs);
}
