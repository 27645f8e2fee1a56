import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { TargetState } from "./TargetState.js";

/** Targets that answer the same queues, ordered by load. */
export class TargetClass {
    private readonly free = new IndexedHeap<TargetState>((left, right) => left.load < right.load);
    private readonly members = new Set<TargetState>();

    constructor(private readonly queues: readonly string[]) {}

    public get isEmpty(): boolean {
        return this.members.size === 0;
    }

    /** Returns whether the targets answer a queue; an empty list of queues means all. */
    public answers(queue: string): boolean {
        return this.queues.length === 0 || this.queues.includes(queue);
    }

    /** Returns whether any target accepts new look-ups in principle, even if all of its slots are in use. */
    public hasSchedulableTarget(): boolean {
        for (const target of this.members) {
            if (target.usableSlots > 0) {
                return true;
            }
        }
        return false;
    }

    /** Returns the least loaded target with a free slot. */
    public peek(): TargetState | undefined {
        return this.free.peek();
    }

    /** Adds a target. */
    public add(target: TargetState): void {
        this.members.add(target);
        this.refresh(target);
    }

    /** Removes a target. */
    public remove(target: TargetState): void {
        this.members.delete(target);
        this.free.remove(target);
    }

    /** Updates a target's position after its load or its limit changed. */
    public refresh(target: TargetState): void {
        if (!target.hasFreeSlot) {
            this.free.remove(target);
        }
        else if (target.heapIndex === NOT_IN_HEAP) {
            this.free.push(target);
        }
        else {
            this.free.update(target);
        }
    }
}
