import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";

interface DelayedTask extends HeapElement {
    readonly taskId: string;
    readonly group: GroupState;
    readonly dueAtMs: number;
}

const BACKOFF_FACTOR = 2;

/** Tasks that wait for their next attempt after a failure, with exponential back-off. */
export class RetryDelays {
    private readonly delayed = new IndexedHeap<DelayedTask>((left, right) => left.dueAtMs < right.dueAtMs);

    constructor(private readonly initialDelayMs: number, private readonly maxDelayMs: number) {}

    /** Delays a task after its failure number `attempts`. */
    public delay(taskId: string, group: GroupState, attempts: number, nowMs: number): void {
        const delayMs = Math.min(this.maxDelayMs, this.initialDelayMs * BACKOFF_FACTOR ** (attempts - 1));
        group.delay(taskId);
        this.delayed.push({ heapIndex: NOT_IN_HEAP, taskId, group, dueAtMs: nowMs + delayMs });
    }

    /** Ends the delays that are over and calls back with the group of each such task. */
    public advance(nowMs: number, onDue: (group: GroupState) => void): void {
        for (let next = this.delayed.peek(); next !== undefined && next.dueAtMs <= nowMs; next = this.delayed.peek()) {
            this.delayed.pop();
            if (next.group.endDelay(next.taskId)) {
                onDue(next.group);
            }
        }
    }
}
