import type { WorkerNode } from "../fleet/WorkerNode.js";

/** Counts the replicas of a service per rack and worker. */
export class ReplicaSpread {
    private readonly countsByRack = new Map<string, number>();
    private readonly countsByWorker = new Map<string, number>();

    /** Counts a replica that starts on a worker. */
    public add(worker: WorkerNode): void {
        adjustCount(this.countsByRack, worker.rack, 1);
        adjustCount(this.countsByWorker, worker.workerId, 1);
    }

    /** Stops counting a replica on a worker. */
    public remove(worker: WorkerNode): void {
        adjustCount(this.countsByRack, worker.rack, -1);
        adjustCount(this.countsByWorker, worker.workerId, -1);
    }

    /** Returns the smallest number of replicas in any rack of the fleet, which has `rackCount` racks. */
    public minPerRack(rackCount: number): number {
        return this.countsByRack.size < rackCount ? 0 : Math.min(...this.countsByRack.values());
    }

    public countInRack(rack: string): number {
        return this.countsByRack.get(rack) ?? 0;
    }

    /** Returns whether a worker already runs a replica. */
    public hasReplicaOn(workerId: string): boolean {
        return this.countsByWorker.has(workerId);
    }
}

function adjustCount(counts: Map<string, number>, key: string, difference: number): void {
    const count = (counts.get(key) ?? 0) + difference;
    if (count <= 0) {
        counts.delete(key);
    }
    else {
        counts.set(key, count);
    }
}
