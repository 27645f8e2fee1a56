import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { ShapeQueue } from "../groups/ShapeQueue.js";
import { FairQueue, isServedBefore } from "./FairQueue.js";
import type { TeamAccount } from "./TeamAccount.js";

/** Waiting groups of one priority class, by task size and team; the least served team comes first. */
export class PriorityClassQueue {
    private readonly fairQueues = new Map<Shape, FairQueue>();
    private readonly queues = new Map<TeamAccount, Map<Shape, ShapeQueue>>();
    /** Fair queues with waiting work whose task size is not blocked, so some worker may have capacity for it. */
    private readonly ready = new IndexedHeap<FairQueue>((left, right) => isServedBefore(left.peek()!, right.peek()!));

    /** Returns the fair queue whose first team is the least served one. */
    public peek(): FairQueue | undefined {
        return this.ready.peek();
    }

    /** Returns the fair queue of a task size. */
    public find(shape: Shape): FairQueue | undefined {
        return this.fairQueues.get(shape);
    }

    /** Fair queues of all task sizes in use. */
    public all(): Iterable<FairQueue> {
        return this.fairQueues.values();
    }

    /** Adds a group that has waiting tasks. */
    public add(group: GroupState): void {
        const queue = this.obtainQueue(group);
        queue.add(group);
        queue.fairQueue.update(queue);
    }

    /** Removes a group. */
    public remove(group: GroupState): void {
        const queue = this.queues.get(group.team)?.get(group.shape);
        if (queue !== undefined) {
            queue.remove(group);
            queue.fairQueue.update(queue);
            this.deleteIfEmpty(queue);
        }
    }

    /** Excludes a queue from being served until it is unparked. */
    public park(queue: ShapeQueue): void {
        queue.parked = true;
        queue.fairQueue.update(queue);
    }

    /** Lets a parked queue be served again. */
    public unpark(queue: ShapeQueue): void {
        queue.parked = false;
        queue.fairQueue.update(queue);
        this.deleteIfEmpty(queue);
    }

    /** Adds, moves or removes a fair queue: it is ready if it has work and its task size is not blocked. */
    public update(fairQueue: FairQueue): void {
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

    /** Updates the order after a task size was blocked or unblocked. */
    public shapeChanged(shape: Shape): void {
        const fairQueue = this.fairQueues.get(shape);
        if (fairQueue !== undefined) {
            this.update(fairQueue);
        }
    }

    /**
     * Removes the fair queue of a queue from the order. Must be called before the usage of its team changes, as the
     * order depends on it; updating the fair queue afterwards adds it again.
     */
    public beginUsageChange(queue: ShapeQueue): void {
        this.ready.remove(queue.fairQueue);
    }

    /** Restores the order after the shares of all teams changed. */
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

    private obtainFairQueue(shape: Shape): FairQueue {
        let fairQueue = this.fairQueues.get(shape);
        if (fairQueue === undefined) {
            fairQueue = new FairQueue(shape, this);
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
        if (queue.fairQueue.peek() === undefined && queue.shape.groupCount === 0) {
            this.fairQueues.delete(queue.shape);
        }
    }
}

function removeFrom(queues: ShapeQueue[], queue: ShapeQueue): void {
    const position = queues.indexOf(queue);
    queues[position] = queues.at(-1)!;
    queues.pop();
}
