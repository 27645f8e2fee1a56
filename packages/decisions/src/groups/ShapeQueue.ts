import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { FairQueue } from "../teams/FairQueue.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import type { GroupState } from "./GroupState.js";
import type { Shape } from "./Shape.js";

/** Waiting groups of one team, priority class and task size, the one that has to start first at the front. */
export class ShapeQueue implements HeapElement {
    public heapIndex = NOT_IN_HEAP;
    /** Excluded from its fair queue until the team has allotment left, or until the next decision. */
    public parked = false;
    private readonly groups = new IndexedHeap<GroupState>((left, right) =>
        left.latestStartAtMs < right.latestStartAtMs
    );

    constructor(public readonly team: TeamAccount, public readonly fairQueue: FairQueue) {}

    public get shape(): Shape {
        return this.fairQueue.shape;
    }

    public get headLatestStartAtMs(): number {
        return this.groups.peek()?.latestStartAtMs ?? Number.POSITIVE_INFINITY;
    }

    public get isEmpty(): boolean {
        return this.groups.size === 0;
    }

    /** Number of waiting tasks over all groups of the queue. */
    public get waitingCount(): number {
        let count = 0;
        for (const group of this.groups.values()) {
            count += group.waitingCount;
        }
        return count;
    }

    /** Returns the group that has to start first to meet its deadline. */
    public peek(): GroupState | undefined {
        return this.groups.peek();
    }

    /** Adds a group unless it is in the queue already. */
    public add(group: GroupState): void {
        if (group.heapIndex === NOT_IN_HEAP) {
            this.groups.push(group);
        }
    }

    /** Removes a group; does nothing when it is not in the queue. */
    public remove(group: GroupState): void {
        this.groups.remove(group);
    }
}

/** Adds all parked queues to their fair queues again and empties the list. */
export function unparkAll(queues: ShapeQueue[]): void {
    for (const queue of queues) {
        queue.fairQueue.classQueue.unpark(queue);
    }
    queues.length = 0;
}
