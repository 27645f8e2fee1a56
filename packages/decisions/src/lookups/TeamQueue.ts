import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { LookupQueue } from "./LookupQueue.js";
import type { LookupTeam } from "./LookupTeam.js";
import type { WaitingLookup } from "./WaitingLookup.js";

/** Look-ups of one team that wait in one queue, earliest deadline first. */
export class TeamQueue implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    private readonly waiting = new IndexedHeap<WaitingLookup>((left, right) =>
        left.lookup.deadlineAtMs < right.lookup.deadlineAtMs
    );

    constructor(public readonly team: LookupTeam, public readonly queue: LookupQueue) {}

    public get size(): number {
        return this.waiting.size;
    }

    public peek(): WaitingLookup | undefined {
        return this.waiting.peek();
    }

    /** Returns the last look-up of the heap, whose deadline is late but not always the latest. */
    public peekLate(): WaitingLookup | undefined {
        return this.waiting.values().at(-1);
    }

    /** Estimates from random samples how many look-ups wait with a deadline no later than the given one. */
    public estimateEarlierCount(
        deadlineAtMs: number,
        sampleCount: number,
        nextInteger: (bound: number) => number
    ): number {
        const all = this.waiting.values();
        if (all.length === 0) {
            return 0;
        }
        let earlier = 0;
        for (let sample = 0; sample < sampleCount; sample++) {
            earlier += all[nextInteger(all.length)]!.lookup.deadlineAtMs <= deadlineAtMs ? 1 : 0;
        }
        return all.length * earlier / sampleCount;
    }

    public push(entry: WaitingLookup): void {
        this.waiting.push(entry);
    }

    public remove(entry: WaitingLookup): void {
        this.waiting.remove(entry);
    }
}
