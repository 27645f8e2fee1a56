import type { WorkerNode } from "../fleet/WorkerNode.js";

/** Counts the replicas of a service per rack and worker. */
export class ReplicaSpread {
    private readonly racks = new Map<string, number>();
    private readonly workers = new Map<string, number>();

    /** Counts a replica. */
    public add(worker: WorkerNode): void {
        change(this.racks, worker.rack, 1);
        change(this.workers, worker.workerId, 1);
    }

    /** Counts a replica no more. */
    public remove(worker: WorkerNode): void {
        change(this.racks, worker.rack, -1);
        change(this.workers, worker.workerId, -1);
    }

    /** Smallest number of replicas in a rack. */
    public lowestOf(rackCount: number): number {
        return this.racks.size < rackCount ? 0 : Math.min(...this.racks.values());
    }

    public countInRack(rack: string): number {
        return this.racks.get(rack) ?? 0;
    }

    /** Tells whether a worker runs a replica already. */
    public isOn(workerId: string): boolean {
        return this.workers.has(workerId);
    }
}

function change(counts: Map<string, number>, key: string, difference: number): void {
    const count = (counts.get(key) ?? 0) + difference;
    if (count <= 0) {
        counts.delete(key);
    }
    else {
        counts.set(key, count);
    }
}
