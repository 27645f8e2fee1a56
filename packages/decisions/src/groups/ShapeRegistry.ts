import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { Shape } from "./Shape.js";

const MAX_CANDIDATES = 16;

/** Task sizes in use, and those that wait until a worker has room. */
export class ShapeRegistry {
    private readonly shapes = new Map<string, Shape>();
    private readonly blocked = new Set<Shape>();
    /** Shapes of which the workers with room are known. */
    private readonly withCandidates = new Set<Shape>();

    constructor(private readonly onChanged: (shape: Shape) => void) {}

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
            this.blocked.delete(shape);
            this.withCandidates.delete(shape);
            this.onChanged(shape);
        }
    }

    /** Remembers that no worker has room for a shape. */
    public block(shape: Shape): void {
        shape.blocked = true;
        shape.candidates = [];
        this.withCandidates.delete(shape);
        this.blocked.add(shape);
        this.onChanged(shape);
    }

    /** Lets the shapes that fit a worker be searched again. */
    public roomGained(worker: WorkerNode): void {
        for (const shape of this.withCandidates) {
            if (worker.fits(shape.resources)) {
                addCandidate(shape, worker);
            }
        }
        for (const shape of this.blocked) {
            if (worker.fits(shape.resources)) {
                this.unblock(shape);
                addCandidate(shape, worker);
                this.withCandidates.add(shape);
            }
        }
    }

    private unblock(shape: Shape): void {
        shape.blocked = false;
        this.blocked.delete(shape);
        this.onChanged(shape);
    }
}

/** Too many candidates are given up for a search of all workers. */
function addCandidate(shape: Shape, worker: WorkerNode): void {
    if (shape.candidates === undefined) {
        return;
    }
    if (shape.candidates.length >= MAX_CANDIDATES) {
        shape.candidates = undefined;
    }
    else if (!shape.candidates.includes(worker)) {
        shape.candidates.push(worker);
    }
}
