import type { Resources } from "@skylarkpath/common/model/Resources";
import { addResources, NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import type { WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { Reservation } from "../tasks/Reservation.js";
import { OrderingResource, WorkerIndex } from "./WorkerIndex.js";
import { WorkerNode } from "./WorkerNode.js";

const MAX_REMOVED_CAPACITIES = 1000;

/** Workers of a slice, indexed by free capacity. */
export class Fleet {
    private readonly workers = new Map<string, WorkerNode>();
    private readonly unreservedIndex = new WorkerIndex();
    private readonly reservedIndex = new WorkerIndex();
    /** Capacity of recently removed workers by id; they may rejoin, so `countFittingTasks` includes them. */
    private readonly removedCapacities = new Map<string, Resources>();
    private readonly racks = new Map<string, number>();
    private totalCapacity = NO_RESOURCES;
    private committedProcessorMillicores = 0;
    private committedMemoryBytes = 0;
    private acceptingWorkers: readonly WorkerNode[] | undefined;
    private schedulableCount = 0;
    private viewVersion = 0;
    private orderingResource = OrderingResource.Processor;

    public get capacity(): Resources {
        return this.totalCapacity;
    }

    /** Number of workers that accept new tasks, reserved ones included. */
    public get acceptingWorkerCount(): number {
        return this.unreservedIndex.size + this.reservedIndex.size;
    }

    public get reservedWorkerCount(): number {
        return this.reservedIndex.size;
    }

    /** Number of known workers, whether they accept tasks or not. */
    public get workerCount(): number {
        return this.workers.size;
    }

    /** Number of workers that the platform lets take tasks, quarantined ones included. */
    public get schedulableWorkerCount(): number {
        return this.schedulableCount;
    }

    public get rackCount(): number {
        return this.racks.size;
    }

    /** Increases whenever a worker joins, changes or is removed. */
    public get version(): number {
        return this.viewVersion;
    }

    /** All known workers. */
    public get all(): Iterable<WorkerNode> {
        return this.workers.values();
    }

    /** Returns a worker, creating it without capacity if it is unknown. */
    public obtain(workerId: string): WorkerNode {
        let worker = this.workers.get(workerId);
        if (worker === undefined) {
            worker = new WorkerNode(workerId);
            this.workers.set(workerId, worker);
        }
        return worker;
    }

    public find(workerId: string): WorkerNode | undefined {
        return this.workers.get(workerId);
    }

    /** Adds or updates a worker; returns whether anything changed. */
    public upsert(view: WorkerView): boolean {
        const worker = this.obtain(view.workerId);
        this.removedCapacities.delete(view.workerId);
        if (worker.matchesView(view)) {
            return false;
        }
        this.replaceView(worker, () => worker.setView(view));
        return true;
    }

    /** Marks a worker as absent and returns it; it is deleted once it has no running task and no reservation. */
    public remove(workerId: string): WorkerNode | undefined {
        const worker = this.workers.get(workerId);
        if (worker !== undefined) {
            this.recordRemovedCapacity(worker);
            this.replaceView(worker, () => worker.setAbsent());
            this.deleteIfUnused(worker);
        }
        return worker;
    }

    /** Allocates resources on a worker. */
    public allocate(worker: WorkerNode, amount: Resources): void {
        worker.allocate(amount);
        this.committedProcessorMillicores += amount.processorMillicores;
        this.committedMemoryBytes += amount.memoryBytes;
        this.refresh(worker);
    }

    /** Releases resources on a worker. */
    public release(worker: WorkerNode, amount: Resources): void {
        worker.release(amount);
        this.committedProcessorMillicores -= amount.processorMillicores;
        this.committedMemoryBytes -= amount.memoryBytes;
        this.refresh(worker);
        this.deleteIfUnused(worker);
    }

    /** Moves a worker to the index that matches its state, or out of both when it accepts no tasks. */
    public refresh(worker: WorkerNode): void {
        if (worker.acceptsTasks !== (worker.index !== undefined)) {
            this.acceptingWorkers = undefined;
        }
        if (worker.acceptsTasks) {
            const index = worker.reservation === undefined ? this.unreservedIndex : this.reservedIndex;
            index.update(worker);
        }
        else {
            worker.index?.remove(worker);
        }
    }

    /** All workers that accept new tasks; cached until a worker starts or stops accepting tasks. */
    public listAcceptingWorkers(): readonly WorkerNode[] {
        if (this.acceptingWorkers === undefined) {
            this.acceptingWorkers = [...this.workers.values()].filter(worker => worker.acceptsTasks);
        }
        return this.acceptingWorkers;
    }

    /** Assigns a worker to a reservation, or removes its reservation. */
    public setReservation(worker: WorkerNode, reservation: Reservation | undefined): void {
        worker.reservation = reservation;
        this.refresh(worker);
        this.deleteIfUnused(worker);
    }

    /** Returns whether a worker accepts tasks and is not reserved. */
    public isUnreserved(worker: WorkerNode): boolean {
        return worker.index === this.unreservedIndex;
    }

    /** Returns the unreserved worker that is the best fit for the demand. */
    public findUnreserved(demand: Resources, accepts: (worker: WorkerNode) => boolean): WorkerNode | undefined {
        return this.unreservedIndex.findBest(demand, this.orderingResource, accepts);
    }

    /** Returns the reserved worker that is the best fit for the demand. */
    public findReserved(demand: Resources, accepts: (worker: WorkerNode) => boolean): WorkerNode | undefined {
        return this.reservedIndex.findBest(demand, this.orderingResource, accepts);
    }

    /** Orders workers by the resource of which the larger fraction is allocated. */
    public updateOrderingResource(): void {
        const processors = this.committedProcessorMillicores / Math.max(1, this.totalCapacity.processorMillicores);
        const memory = this.committedMemoryBytes / Math.max(1, this.totalCapacity.memoryBytes);
        this.orderingResource = memory > processors ? OrderingResource.Memory : OrderingResource.Processor;
    }

    /** Counts how many tasks of a size fit on all known and recently removed workers when empty, up to a limit. */
    public countFittingTasks(demand: Resources, limit: number): number {
        let fitting = 0;
        for (const worker of this.workers.values()) {
            fitting += countFitting(worker.capacity, demand, limit);
            if (fitting >= limit) {
                return limit;
            }
        }
        for (const capacity of this.removedCapacities.values()) {
            fitting += countFitting(capacity, demand, limit);
        }
        return Math.min(limit, fitting);
    }

    /** Returns the worker whose capacity covers the largest fraction of the demand. */
    public findLargest(demand: Resources): WorkerNode | undefined {
        let largest: WorkerNode | undefined;
        let largestFraction = Number.NEGATIVE_INFINITY;
        for (const worker of this.workers.values()) {
            const fraction = coveredFraction(worker.capacity, demand);
            if (fraction > largestFraction) {
                largest = worker;
                largestFraction = fraction;
            }
        }
        return largest;
    }

    private recordRemovedCapacity(worker: WorkerNode): void {
        if (worker.isAbsent) {
            return;
        }
        this.removedCapacities.set(worker.workerId, worker.capacity);
        if (this.removedCapacities.size > MAX_REMOVED_CAPACITIES) {
            const [oldest] = this.removedCapacities.keys();
            this.removedCapacities.delete(oldest!);
        }
    }

    private replaceView(worker: WorkerNode, replace: () => void): void {
        this.totalCapacity = subtractResources(this.totalCapacity, worker.capacity);
        this.countRack(worker, -1);
        this.schedulableCount -= worker.schedulable ? 1 : 0;
        replace();
        this.schedulableCount += worker.schedulable ? 1 : 0;
        this.countRack(worker, 1);
        this.totalCapacity = addResources(this.totalCapacity, worker.capacity);
        this.viewVersion++;
        this.refresh(worker);
    }

    private countRack(worker: WorkerNode, difference: number): void {
        if (worker.isAbsent) {
            return;
        }
        const count = (this.racks.get(worker.rack) ?? 0) + difference;
        if (count > 0) {
            this.racks.set(worker.rack, count);
        }
        else {
            this.racks.delete(worker.rack);
        }
    }

    private deleteIfUnused(worker: WorkerNode): void {
        if (worker.isAbsent && worker.running.size === 0 && worker.reservation === undefined) {
            this.workers.delete(worker.workerId);
        }
    }
}

/** Counts how many tasks of a size fit into an amount, up to a limit. */
export function countFitting(amount: Resources, demand: Resources, limit: number): number {
    return Math.max(
        0,
        Math.min(
            limit,
            countFittingByResource(amount.processorMillicores, demand.processorMillicores),
            countFittingByResource(amount.memoryBytes, demand.memoryBytes),
            countFittingByResource(amount.accelerators, demand.accelerators)
        )
    );
}

function countFittingByResource(amount: number, demand: number): number {
    return demand > 0 ? Math.floor(amount / demand) : Number.POSITIVE_INFINITY;
}

/** Fraction of the demand that the capacity covers, for the resource that it covers least. */
function coveredFraction(capacity: Resources, demand: Resources): number {
    return Math.min(
        coveredFractionOfResource(capacity.processorMillicores, demand.processorMillicores),
        coveredFractionOfResource(capacity.memoryBytes, demand.memoryBytes),
        coveredFractionOfResource(capacity.accelerators, demand.accelerators)
    );
}

function coveredFractionOfResource(capacity: number, demand: number): number {
    return demand > 0 ? capacity / demand : 1;
}
