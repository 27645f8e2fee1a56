import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { ShapeQueue } from "../groups/ShapeQueue.js";
import type { PriorityLine } from "./PriorityLine.js";
import type { TeamAccount } from "./TeamAccount.js";

/** Waiting groups of one team in one priority class. */
export class TeamLine implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    private readonly queues = new Map<Shape, ShapeQueue>();
    private readonly ready = new IndexedHeap<ShapeQueue>((left, right) => left.headKeyMs < right.headKeyMs);

    constructor(public readonly team: TeamAccount, public readonly line: PriorityLine) {}

    /** Returns the queue to serve next. */
    public peek(): ShapeQueue | undefined {
        return this.ready.peek();
    }

    /** Adds a group that has waiting tasks. */
    public add(group: GroupState): void {
        let queue = this.queues.get(group.shape);
        if (queue === undefined) {
            queue = new ShapeQueue(this, group.shape);
            this.queues.set(group.shape, queue);
        }
        queue.add(group);
        this.refresh(queue);
    }

    /** Removes a group. */
    public remove(group: GroupState): void {
        const queue = this.queues.get(group.shape);
        if (queue !== undefined) {
            queue.remove(group);
            this.refresh(queue);
        }
    }

    /** Takes a queue out of the order until it is unparked. */
    public park(queue: ShapeQueue): void {
        queue.parked = true;
        this.ready.remove(queue);
        this.line.refresh(this);
    }

    /** Takes a queue back into the order. */
    public unpark(queue: ShapeQueue): void {
        queue.parked = false;
        this.refresh(queue);
    }

    private refresh(queue: ShapeQueue): void {
        if (queue.isEmpty) {
            this.ready.remove(queue);
            this.forget(queue);
        }
        else if (!queue.parked && queue.heapIndex === NOT_IN_HEAP) {
            this.ready.push(queue);
        }
        else {
            this.ready.update(queue);
        }
        this.line.refresh(this);
    }

    private forget(queue: ShapeQueue): void {
        if (!queue.parked) {
            this.queues.delete(queue.shape);
        }
    }
}
