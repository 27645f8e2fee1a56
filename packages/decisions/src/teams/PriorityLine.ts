import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { ShapeQueue } from "../groups/ShapeQueue.js";
import { isServedBefore, ShapeLine } from "./ShapeLine.js";
import type { TeamAccount } from "./TeamAccount.js";

/** Waiting work of one priority class by task size and team, the least served team first. */
export class PriorityLine {
    private readonly fairQueues = new Map<Shape, ShapeLine>();
    private readonly queues = new Map<TeamAccount, Map<Shape, ShapeQueue>>();
    /** Task sizes with work to place for which some worker may have room. */
    private readonly ready = new IndexedHeap<ShapeLine>((left, right) => isServedBefore(left.peek()!, right.peek()!));

    /** Returns the line of the least served team's size. */
    public peek(): ShapeLine | undefined {
        return this.ready.peek();
    }

    /** Returns the line of a task size. */
    public find(shape: Shape): ShapeLine | undefined {
        return this.fairQueues.get(shape);
    }

    /** Lines of all task sizes that have work. */
    public all(): Iterable<ShapeLine> {
        return this.fairQueues.values();
    }

    /** Adds a group that has waiting tasks. */
    public add(group: GroupState): void {
        const queue = this.obtainQueue(group);
        queue.add(group);
        queue.shapeLine.update(queue);
    }

    /** Removes a group. */
    public remove(group: GroupState): void {
        const queue = this.queues.get(group.team)?.get(group.shape);
        if (queue !== undefined) {
            queue.remove(group);
            queue.shapeLine.update(queue);
            this.deleteIfEmpty(queue);
        }
    }

    /** Takes a queue out of the order until it is unparked. */
    public park(queue: ShapeQueue): void {
        queue.parked = true;
        queue.shapeLine.update(queue);
    }

    /** Takes a queue back into the order. */
    public unpark(queue: ShapeQueue): void {
        queue.parked = false;
        queue.shapeLine.update(queue);
        this.deleteIfEmpty(queue);
    }

    /** Takes a task size into the order when it has work and is not blocked, and out of it when not. */
    public update(fairQueue: ShapeLine): void {
        if (fairQueue.shape.blocked || fairQueue.peek() === undefined) {
            this.ready.remove(fairQueue);
        }
        else if (fairQueue.heapIndex === NOT_IN_HEAP) {
            this.ready.push(fairQueue);
        }
        else {
            this.ready.update(fairQueue);
        }
    }

    /** Follows a task size that was blocked or unblocked. */
    public shapeChanged(shape: Shape): void {
        const fairQueue = this.fairQueues.get(shape);
        if (fairQueue !== undefined) {
            this.update(fairQueue);
        }
    }

    /** Takes the size of a queue out of the order before the usage of its team changes. */
    public beginUsageChange(queue: ShapeQueue): void {
        this.ready.remove(queue.shapeLine);
    }

    /** Restores the order after the usage of all teams changed. */
    public allSharesChanged(): void {
        for (const fairQueue of this.fairQueues.values()) {
            fairQueue.updateAll();
        }
        this.ready.updateAll();
    }

    private obtainQueue(group: GroupState): ShapeQueue {
        let queues = this.queues.get(group.team);
        if (queues === undefined) {
            queues = new Map();
            this.queues.set(group.team, queues);
        }
        let queue = queues.get(group.shape);
        if (queue === undefined) {
            queue = new ShapeQueue(group.team, this.obtainFairQueue(group.shape));
            queues.set(group.shape, queue);
            group.team.queues.push(queue);
        }
        return queue;
    }

    private obtainFairQueue(shape: Shape): ShapeLine {
        let fairQueue = this.fairQueues.get(shape);
        if (fairQueue === undefined) {
            fairQueue = new ShapeLine(shape, this);
            this.fairQueues.set(shape, fairQueue);
        }
        return fairQueue;
    }

    private deleteIfEmpty(queue: ShapeQueue): void {
        if (!queue.isEmpty || queue.parked) {
            return;
        }
        const queues = this.queues.get(queue.team);
        if (queues?.get(queue.shape) === queue) {
            queues.delete(queue.shape);
            removeFrom(queue.team.queues, queue);
        }
        if (queue.shapeLine.peek() === undefined && queue.shape.groupCount === 0) {
            this.fairQueues.delete(queue.shape);
        }
    }
}

function removeFrom(queues: ShapeQueue[], queue: ShapeQueue): void {
    const position = queues.indexOf(queue);
    queues[position] = queues.at(-1)!;
    queues.pop();
}
