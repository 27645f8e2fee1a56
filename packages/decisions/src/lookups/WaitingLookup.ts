import type { PendingLookup } from "@skylarkpath/common/scheduling/LookupScheduler";
import { type HeapElement, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import type { TeamQueue } from "./TeamQueue.js";

/** A look-up that waits in its team's queue. */
export class WaitingLookup implements HeapElement {
    public heapIndex = NOT_IN_HEAP;

    constructor(public readonly lookup: PendingLookup, public readonly teamQueue: TeamQueue) {}
}
