import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "@skylarkpath/decisions/base/IndexedHeap";

/** Callback that is scheduled at a point in virtual time. */
export interface VirtualEvent extends HeapElement {
    readonly atMs: number;
    /** Orders events with equal times by when they were scheduled. */
    readonly sequenceNumber: number;
    readonly run: (nowMs: number) => void;
}

/** Event queue of a discrete-event simulation. */
export class EventQueue {
    private readonly events = new IndexedHeap<VirtualEvent>((left, right) =>
        left.atMs < right.atMs || (left.atMs === right.atMs && left.sequenceNumber < right.sequenceNumber)
    );
    private nextSequenceNumber = 0;

    /** Schedules a callback at a point in virtual time. */
    public schedule(atMs: number, run: (nowMs: number) => void): VirtualEvent {
        const event = { heapIndex: NOT_IN_HEAP, atMs, sequenceNumber: this.nextSequenceNumber++, run };
        this.events.push(event);
        return event;
    }

    /** Cancels an event that has not run yet. */
    public cancel(event: VirtualEvent): void {
        this.events.remove(event);
    }

    /** Virtual time of the next event, infinity when the queue is empty. */
    public get nextAtMs(): number {
        return this.events.peek()?.atMs ?? Number.POSITIVE_INFINITY;
    }

    /** Runs all events up to and including a time, also those that they schedule. */
    public runUntil(untilMs: number): void {
        for (let event = this.events.peek(); event !== undefined && event.atMs <= untilMs; event = this.events.peek()) {
            this.events.pop();
            event.run(event.atMs);
        }
    }
}
