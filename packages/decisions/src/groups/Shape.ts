import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";

/** Resources that each task of a group needs, shared by all groups of that size, with the result of the last search. */
export class Shape {
    /** Number of groups of this size; the shape is removed with the last of them. */
    public groupCount = 0;
    /** The last search found no worker with enough free capacity, and none has gained enough since. */
    public blocked = false;
    /** Workers that gained enough free capacity since the last failed search; undefined means all workers. */
    public candidates: WorkerNode[] | undefined;
    /** Fleet version for which the fleet is known to be large enough for one task; -1 before the first check. */
    public feasibleVersion = -1;

    constructor(public readonly key: string, public readonly resources: Resources) {}
}
