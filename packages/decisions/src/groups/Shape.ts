import type { Resources } from "@skylarkpath/common/model/Resources";
import type { ShapeQueue } from "./ShapeQueue.js";

/** Task size shared by groups; remembers that no worker has room for it. */
export class Shape {
    /** Groups of this size; the shape is forgotten with the last. */
    public groupCount = 0;
    /** No worker had room when last searched, and none gained enough since. */
    public blocked = false;
    /** Version of the fleet at which some worker could hold one task. */
    public feasibleVersion = -1;
    /** Queues that wait until a worker has room. */
    public readonly parkedQueues: ShapeQueue[] = [];

    constructor(public readonly key: string, public readonly resources: Resources) {}
}
