import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { ShapeQueue } from "../groups/ShapeQueue.js";
import { isServedBefore, ShapeLine } from "./ShapeLine.js";
import type { TeamAccount } from "./TeamAccount.js";

/** Waiting work of one priority class by task size and team, the least served team first. */
export class PriorityLine {
    private readonly shapeLines = new Map<Shape, ShapeLine>();
    private readonly queues = new Map<TeamAccount, Map<Shape, ShapeQueue>>();
    /** Task sizes with work to place for which some worker may have room. */
    private readonly ready = new IndexedHeap<ShapeLine>((left, right) => isServedBefore(left.peek()!, right.peek()!));

    /** Returns the line of the least served team's size. */
    public peek(): ShapeLine | undefined {
        return this.ready.peek();
    }

    /** Returns the line of a task size. */
    public find(shape: Shape): ShapeLine | undefined {
        return this.shapeLines.get(shape);
    }

    /** Lines of all task sizes that have work. */
    public all(): Iterable<ShapeLine> {
        return this.shapeLines.values();
    }

    /** Adds a group that has waiting tasks. */
    public add(group: GroupState): void {
        const queue = this.obtainQueue(group);
        queue.add(group);
        queue.shapeLine.refresh(queue);
    }

    /** Removes a group. */
    public remove(group: GroupState): void {
        const queue = this.queues.get(group.team)?.get(group.shape);
        if (queue !== undefined) {
            queue.remove(group);
            queue.shapeLine.refresh(queue);
            this.forgetWhenEmpty(queue);
        }
    }

    /** Takes a queue out of the order until it is unparked. */
    public park(queue: ShapeQueue): void {
        queue.parked = true;
        queue.shapeLine.refresh(queue);
    }

    /** Takes a queue back into the order. */
    public unpark(queue: ShapeQueue): void {
        queue.parked = false;
        queue.shapeLine.refresh(queue);
        this.forgetWhenEmpty(queue);
    }

    /** Takes a task size into the order when it has work and is not blocked, and out of it when not. */
    public refresh(shapeLine: ShapeLine): void {
        if (shapeLine.shape.blocked || shapeLine.peek() === undefined) {
            this.ready.remove(shapeLine);
        }
        else if (shapeLine.heapIndex === NOT_IN_HEAP) {
            this.ready.push(shapeLine);
        }
        else {
            this.ready.update(shapeLine);
        }
    }

    /** Follows a task size that was blocked or unblocked. */
    public shapeChanged(shape: Shape): void {
        const shapeLine = this.shapeLines.get(shape);
        if (shapeLine !== undefined) {
            this.refresh(shapeLine);
        }
    }

    /** Takes the size of a queue out of the order before the usage of its team changes. */
    public beginChange(queue: ShapeQueue): void {
        this.ready.remove(queue.shapeLine);
    }

    /** Restores the order after the usage of all teams changed. */
    public allTeamsChanged(): void {
        for (const shapeLine of this.shapeLines.values()) {
            shapeLine.refreshAll();
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
            queue = new ShapeQueue(group.team, this.obtainLine(group.shape));
            queues.set(group.shape, queue);
            group.team.queues.push(queue);
        }
        return queue;
    }

    private obtainLine(shape: Shape): ShapeLine {
        let shapeLine = this.shapeLines.get(shape);
        if (shapeLine === undefined) {
            shapeLine = new ShapeLine(shape, this);
            this.shapeLines.set(shape, shapeLine);
        }
        return shapeLine;
    }

    private forgetWhenEmpty(queue: ShapeQueue): void {
        if (!queue.isEmpty || queue.parked) {
            return;
        }
        const queues = this.queues.get(queue.team);
        if (queues?.get(queue.shape) === queue) {
            queues.delete(queue.shape);
            removeFrom(queue.team.queues, queue);
        }
        if (queue.shapeLine.peek() === undefined && queue.shape.groupCount === 0) {
            this.shapeLines.delete(queue.shape);
        }
    }
}

function removeFrom(queues: ShapeQueue[], queue: ShapeQueue): void {
    const position = queues.indexOf(queue);
    queues[position] = queues.at(-1)!;
    queues.pop();
}
