import type { Resources } from "@skylarkpath/common/model/Resources";
import type { ShapeQueue } from "./ShapeQueue.js";

/** Task size shared by groups; remembers that no worker has room for it. */
export class Shape {
    /** No worker had room when last searched, and none gained enough since. */
    public blocked = false;
    /** Queues that wait until a worker has room. */
    public readonly parkedQueues: ShapeQueue[] = [];

    constructor(public readonly resources: Resources) {}
}
