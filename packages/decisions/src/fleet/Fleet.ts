import type { Resources } from "@skylarkpath/common/model/Resources";
import { addResources, NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import type { WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { Reservation } from "../tasks/Reservation.js";
import { OrderingResource, WorkerIndex } from "./WorkerIndex.js";
import { WorkerNode } from "./WorkerNode.js";

const MAX_DEPARTED_WORKERS = 1000;

/** Workers of a slice, indexed by free capacity. */
export class Fleet {
    private readonly workers = new Map<string, WorkerNode>();
    private readonly openIndex = new WorkerIndex();
    private readonly reservedIndex = new WorkerIndex();
    /** Capacity of workers that left; they may come back. */
    private readonly departed = new Map<string, Resources>();
    private readonly racks = new Map<string, number>();
    private totalCapacity = NO_RESOURCES;
    private committedProcessorMillicores = 0;
    private committedMemoryBytes = 0;
    private taking: readonly WorkerNode[] | undefined;
    private viewVersion = 0;
    private scarcest = OrderingResource.Processor;

    public get capacity(): Resources {
        return this.totalCapacity;
    }

    /** Number of workers that take new tasks. */
    public get openWorkerCount(): number {
        return this.openIndex.size + this.reservedIndex.size;
    }

    public get reservedWorkerCount(): number {
        return this.reservedIndex.size;
    }

    /** Number of workers known, whether they take tasks or not. */
    public get workerCount(): number {
        return this.workers.size;
    }

    public get rackCount(): number {
        return this.racks.size;
    }

    /** Rises with every change of a worker's view. */
    public get version(): number {
        return this.viewVersion;
    }

    /** All known workers. */
    public get all(): Iterable<WorkerNode> {
        return this.workers.values();
    }

    /** Returns a worker; one that is not known yet holds nothing. */
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

    /** Adds a worker or takes over its view; returns whether it brings anything new. */
    public upsert(view: WorkerView): boolean {
        const worker = this.obtain(view.workerId);
        this.departed.delete(view.workerId);
        if (worker.hasView(view)) {
            return false;
        }
        this.replaceView(worker, () => worker.setView(view));
        return true;
    }

    /** Marks a worker as gone and returns it; it is forgotten once nothing runs there. */
    public remove(workerId: string): WorkerNode | undefined {
        const worker = this.workers.get(workerId);
        if (worker !== undefined) {
            this.rememberDeparted(worker);
            this.replaceView(worker, () => worker.setGone());
            this.forgetWhenEmpty(worker);
        }
        return worker;
    }

    /** Takes an amount on a worker. */
    public take(worker: WorkerNode, amount: Resources): void {
        worker.take(amount);
        this.committedProcessorMillicores += amount.processorMillicores;
        this.committedMemoryBytes += amount.memoryBytes;
        this.refresh(worker);
    }

    /** Gives an amount on a worker back. */
    public give(worker: WorkerNode, amount: Resources): void {
        worker.give(amount);
        this.committedProcessorMillicores -= amount.processorMillicores;
        this.committedMemoryBytes -= amount.memoryBytes;
        this.refresh(worker);
        this.forgetWhenEmpty(worker);
    }

    /** Puts a worker where its state belongs: into the index when it takes new tasks. */
    public refresh(worker: WorkerNode): void {
        if (worker.takesTasks !== (worker.index !== undefined)) {
            this.taking = undefined;
        }
        if (worker.takesTasks) {
            const index = worker.reservation === undefined ? this.openIndex : this.reservedIndex;
            index.update(worker);
        }
        else {
            worker.index?.remove(worker);
        }
    }

    /** All workers that take new tasks; computed anew only after one began or ceased to. */
    public takingTasks(): readonly WorkerNode[] {
        if (this.taking === undefined) {
            this.taking = [...this.workers.values()].filter(worker => worker.takesTasks);
        }
        return this.taking;
    }

    /** Keeps a worker for a reservation, or opens it to all again. */
    public setReservation(worker: WorkerNode, reservation: Reservation | undefined): void {
        worker.reservation = reservation;
        this.refresh(worker);
        this.forgetWhenEmpty(worker);
    }

    /** Tells whether a worker takes tasks of anybody. */
    public isOpen(worker: WorkerNode): boolean {
        return worker.index === this.openIndex;
    }

    /** Returns the worker open to all that the demand fits best. */
    public findBest(demand: Resources, accepts: (worker: WorkerNode) => boolean): WorkerNode | undefined {
        return this.openIndex.findBest(demand, this.scarcest, accepts);
    }

    /** Returns the reserved worker that the demand fits best. */
    public findReserved(demand: Resources, accepts: (worker: WorkerNode) => boolean): WorkerNode | undefined {
        return this.reservedIndex.findBest(demand, this.scarcest, accepts);
    }

    /** Chooses the resource that orders workers from what is committed. */
    public updateScarcest(): void {
        const processors = this.committedProcessorMillicores / Math.max(1, this.totalCapacity.processorMillicores);
        const memory = this.committedMemoryBytes / Math.max(1, this.totalCapacity.memoryBytes);
        this.scarcest = memory > processors ? OrderingResource.Memory : OrderingResource.Processor;
    }

    /** Counts how many tasks of a size all known workers could hold when empty, up to a limit. */
    public countPlaces(demand: Resources, limit: number): number {
        let places = 0;
        for (const worker of this.workers.values()) {
            places += placesIn(worker.capacity, demand, limit);
            if (places >= limit) {
                return limit;
            }
        }
        for (const capacity of this.departed.values()) {
            places += placesIn(capacity, demand, limit);
        }
        return Math.min(limit, places);
    }

    /** Returns the largest worker by the fraction of the demand that it covers. */
    public findLargest(demand: Resources): WorkerNode | undefined {
        let largest: WorkerNode | undefined;
        let largestCover = Number.NEGATIVE_INFINITY;
        for (const worker of this.workers.values()) {
            const cover = coverOf(worker.capacity, demand);
            if (cover > largestCover) {
                largest = worker;
                largestCover = cover;
            }
        }
        return largest;
    }

    private rememberDeparted(worker: WorkerNode): void {
        if (worker.isGone) {
            return;
        }
        this.departed.set(worker.workerId, worker.capacity);
        if (this.departed.size > MAX_DEPARTED_WORKERS) {
            const [oldest] = this.departed.keys();
            this.departed.delete(oldest!);
        }
    }

    private replaceView(worker: WorkerNode, replace: () => void): void {
        this.totalCapacity = subtractResources(this.totalCapacity, worker.capacity);
        this.countRack(worker, -1);
        replace();
        this.countRack(worker, 1);
        this.totalCapacity = addResources(this.totalCapacity, worker.capacity);
        this.viewVersion++;
        this.refresh(worker);
    }

    private countRack(worker: WorkerNode, difference: number): void {
        if (worker.isGone) {
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

    private forgetWhenEmpty(worker: WorkerNode): void {
        if (worker.isGone && worker.running.size === 0 && worker.reservation === undefined) {
            this.workers.delete(worker.workerId);
        }
    }
}

/** Counts how many tasks of a size an amount holds, up to a limit. */
export function placesIn(amount: Resources, demand: Resources, limit: number): number {
    return Math.max(
        0,
        Math.min(
            limit,
            timesIn(amount.processorMillicores, demand.processorMillicores),
            timesIn(amount.memoryBytes, demand.memoryBytes),
            timesIn(amount.accelerators, demand.accelerators)
        )
    );
}

function timesIn(amount: number, demand: number): number {
    return demand > 0 ? Math.floor(amount / demand) : Number.POSITIVE_INFINITY;
}

/** Smallest fraction of the demand that the capacity covers over all resources. */
function coverOf(capacity: Resources, demand: Resources): number {
    return Math.min(
        fractionCovered(capacity.processorMillicores, demand.processorMillicores),
        fractionCovered(capacity.memoryBytes, demand.memoryBytes),
        fractionCovered(capacity.accelerators, demand.accelerators)
    );
}

function fractionCovered(capacity: number, demand: number): number {
    return demand > 0 ? capacity / demand : 1;
}
