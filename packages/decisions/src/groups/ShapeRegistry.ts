import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { Shape } from "./Shape.js";
import type { ShapeQueue } from "./ShapeQueue.js";

/** Task sizes in use, and those that wait until a worker has room. */
export class ShapeRegistry {
    private readonly shapes = new Map<string, Shape>();
    private readonly blocked = new Set<Shape>();

    /** Shapes that wait until a worker has room. */
    public get blockedShapes(): ReadonlySet<Shape> {
        return this.blocked;
    }

    /** Returns the shape of a size and counts a group that uses it. */
    public obtain(resources: Resources): Shape {
        const key = `${resources.processorMillicores}:${resources.memoryBytes}:${resources.accelerators}`;
        let shape = this.shapes.get(key);
        if (shape === undefined) {
            shape = new Shape(key, resources);
            this.shapes.set(key, shape);
        }
        shape.groupCount++;
        return shape;
    }

    /** Counts a group no more and forgets the shape that none uses. */
    public release(shape: Shape): void {
        shape.groupCount--;
        if (shape.groupCount === 0) {
            this.shapes.delete(shape.key);
            this.unblock(shape);
        }
    }

    /** Remembers that no worker has room for a shape. */
    public block(shape: Shape): void {
        shape.blocked = true;
        this.blocked.add(shape);
    }

    /** Parks a queue until a worker has room for its shape. */
    public park(queue: ShapeQueue): void {
        queue.line.park(queue);
        queue.shape.parkedQueues.push(queue);
    }

    /** Lets the shapes that fit a worker be searched again. */
    public roomGained(worker: WorkerNode): void {
        for (const shape of this.blocked) {
            if (worker.fits(shape.resources)) {
                this.unblock(shape);
            }
        }
    }

    private unblock(shape: Shape): void {
        shape.blocked = false;
        this.blocked.delete(shape);
        unparkAll(shape.parkedQueues);
    }
}

/** Takes all parked queues back into their lines and empties the list. */
export function unparkAll(queues: ShapeQueue[]): void {
    for (const queue of queues) {
        queue.line.unpark(queue);
    }
    queues.length = 0;
}
