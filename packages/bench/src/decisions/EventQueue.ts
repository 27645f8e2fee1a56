import { type HeapElement, IndexedHeap, NOT_IN_HEAP } from "@skylarkpath/decisions/base/IndexedHeap";

/** Something that happens at a point of virtual time. */
export interface VirtualEvent extends HeapElement {
    readonly atMs: number;
    readonly sequenceNumber: number;
    readonly run: (nowMs: number) => void;
}

/** Events of a measurement in virtual time. */
export class EventQueue {
    private readonly events = new IndexedHeap<VirtualEvent>((left, right) =>
        left.atMs < right.atMs || (left.atMs === right.atMs && left.sequenceNumber < right.sequenceNumber)
    );
    private nextSequenceNumber = 0;

    /** Schedules an event. */
    public schedule(atMs: number, run: (nowMs: number) => void): VirtualEvent {
        const event = { heapIndex: NOT_IN_HEAP, atMs, sequenceNumber: this.nextSequenceNumber++, run };
        this.events.push(event);
        return event;
    }

    /** Cancels an event that has not run. */
    public cancel(event: VirtualEvent): void {
        this.events.remove(event);
    }

    /** Time of the next event. */
    public get nextAtMs(): number {
        return this.events.peek()?.atMs ?? Number.POSITIVE_INFINITY;
    }

    /** Runs all events up to a time. */
    public runUntil(untilMs: number): void {
        for (let event = this.events.peek(); event !== undefined && event.atMs <= untilMs; event = this.events.peek()) {
            this.events.pop();
            event.run(event.atMs);
        }
    }
}
