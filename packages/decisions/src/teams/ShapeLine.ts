import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { Shape } from "../groups/Shape.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { PriorityLine } from "./PriorityLine.js";

/** Queues of all teams for one task size in one priority class, the least served team first. */
export class ShapeLine implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    private readonly queues = new IndexedHeap<ShapeQueue>(isServedBefore);

    constructor(public readonly shape: Shape, public readonly line: PriorityLine) {}

    /** Returns the least served team's queue that may be served. */
    public peek(): ShapeQueue | undefined {
        return this.queues.peek();
    }

    /** All queues that may be served. */
    public values(): readonly ShapeQueue[] {
        return this.queues.values();
    }

    /** Puts a queue where its state belongs. */
    public refresh(queue: ShapeQueue): void {
        if (queue.isEmpty || queue.parked) {
            this.queues.remove(queue);
        }
        else if (queue.heapIndex === NOT_IN_HEAP) {
            this.queues.push(queue);
        }
        else {
            this.queues.update(queue);
        }
        this.line.refresh(this);
    }

    /** Restores the order after the shares of all teams changed. */
    public refreshAll(): void {
        this.queues.updateAll();
    }
}

/** Least served team first; the latest start among equals. */
export function isServedBefore(left: ShapeQueue, right: ShapeQueue): boolean {
    const difference = left.team.weightedShare - right.team.weightedShare;
    return difference < 0 || (difference === 0 && left.headLatestStartAtMs < right.headLatestStartAtMs);
}
