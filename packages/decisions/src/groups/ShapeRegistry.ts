import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { Shape } from "./Shape.js";

const MAX_CANDIDATES = 16;

/** Task sizes in use, and those that are blocked until a worker has enough free capacity. */
export class ShapeRegistry {
    private readonly shapes = new Map<string, Shape>();
    private readonly blocked = new Set<Shape>();
    /** Unblocked shapes with a list of candidates, to which further workers that gain capacity are added. */
    private readonly withCandidates = new Set<Shape>();

    constructor(private readonly onChanged: (shape: Shape) => void) {}

    /** Shapes for which no worker has enough free capacity. */
    public get blockedShapes(): ReadonlySet<Shape> {
        return this.blocked;
    }

    /** Returns the shape for these resources, creating it when needed, and counts one more group that uses it. */
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

    /** Counts one group fewer that uses a shape, and removes the shape when there is none left. */
    public release(shape: Shape): void {
        shape.groupCount--;
        if (shape.groupCount === 0) {
            this.shapes.delete(shape.key);
            this.blocked.delete(shape);
            this.withCandidates.delete(shape);
            this.onChanged(shape);
        }
    }

    /** Marks a shape as blocked, after a search found no worker with enough free capacity. */
    public block(shape: Shape): void {
        shape.blocked = true;
        shape.candidates = [];
        this.withCandidates.delete(shape);
        this.blocked.add(shape);
        this.onChanged(shape);
    }

    /** Makes a worker that gained free capacity a candidate for the shapes that fit there, and unblocks them. */
    public capacityGained(worker: WorkerNode): void {
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

/** Adds a candidate; beyond `MAX_CANDIDATES` the list is dropped and all workers are searched instead. */
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
