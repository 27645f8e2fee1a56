import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { GroupState } from "../groups/GroupState.js";

interface DelayedTask extends HeapElement {
    readonly taskId: string;
    readonly group: GroupState;
    readonly dueAtMs: number;
}

const BACKOFF_FACTOR = 2;

/** Tasks that wait for a delay after a failure, which grows with every further one. */
export class RetryDelays {
    private readonly delayed = new IndexedHeap<DelayedTask>((left, right) => left.dueAtMs < right.dueAtMs);

    constructor(private readonly initialDelayMs: number, private readonly maxDelayMs: number) {}

    /** Delays a task that failed so many times. */
    public delay(taskId: string, group: GroupState, attempts: number, nowMs: number): void {
        const delayMs = Math.min(this.maxDelayMs, this.initialDelayMs * BACKOFF_FACTOR ** (attempts - 1));
        group.delay(taskId);
        this.delayed.push({ heapIndex: NOT_IN_HEAP, taskId, group, dueAtMs: nowMs + delayMs });
    }

    /** Calls back for every group whose task may wait for a worker again. */
    public advance(nowMs: number, onDue: (group: GroupState) => void): void {
        for (let next = this.delayed.peek(); next !== undefined && next.dueAtMs <= nowMs; next = this.delayed.peek()) {
            this.delayed.pop();
            if (next.group.endDelay(next.taskId)) {
                onDue(next.group);
            }
        }
    }
}
