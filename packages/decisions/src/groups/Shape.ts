import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";

/** Task size shared by groups; remembers that no worker has room for it. */
export class Shape {
    /** Groups of this size; the shape is forgotten with the last. */
    public groupCount = 0;
    /** No worker had room when last searched, and none gained enough since. */
    public blocked = false;
    /** Workers that gained room since no worker had any; undefined means that all are to be searched. */
    public candidates: WorkerNode[] | undefined;
    /** Version of the fleet at which some worker could hold one task. */
    public feasibleVersion = -1;

    constructor(public readonly key: string, public readonly resources: Resources) {}
}
