import type { Resources } from "@skylarkpath/common/model/Resources";
import { addResources, fitsInto, NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import type { WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import { OrderingResource, WorkerIndex } from "./WorkerIndex.js";
import { WorkerNode } from "./WorkerNode.js";

/** Workers of a slice, indexed by free capacity. */
export class Fleet {
    private readonly workers = new Map<string, WorkerNode>();
    private readonly index = new WorkerIndex();
    private totalCapacity = NO_RESOURCES;
    private committed = NO_RESOURCES;
    private scarcest = OrderingResource.Processor;

    public get capacity(): Resources {
        return this.totalCapacity;
    }

    /** Number of workers that take new tasks. */
    public get openWorkerCount(): number {
        return this.index.size;
    }

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

    /** Adds a worker or takes over its new view. */
    public upsert(view: WorkerView): WorkerNode {
        const worker = this.obtain(view.workerId);
        this.replaceView(worker, () => worker.setView(view));
        return worker;
    }

    /** Marks a worker as gone and returns it; it is forgotten once nothing runs there. */
    public remove(workerId: string): WorkerNode | undefined {
        const worker = this.workers.get(workerId);
        if (worker !== undefined) {
            this.replaceView(worker, () => worker.setGone());
            this.forgetWhenEmpty(worker);
        }
        return worker;
    }

    /** Takes an amount on a worker. */
    public take(worker: WorkerNode, amount: Resources): void {
        worker.take(amount);
        this.committed = addResources(this.committed, amount);
        this.refresh(worker);
    }

    /** Gives an amount on a worker back. */
    public give(worker: WorkerNode, amount: Resources): void {
        worker.give(amount);
        this.committed = subtractResources(this.committed, amount);
        this.refresh(worker);
        this.forgetWhenEmpty(worker);
    }

    /** Puts a worker where its state belongs: into the index when it takes new tasks. */
    public refresh(worker: WorkerNode): void {
        if (worker.takesTasks) {
            this.index.update(worker);
        }
        else {
            this.index.remove(worker);
        }
    }

    /** Returns the worker that the demand fits best. */
    public findBest(demand: Resources, accepts: (worker: WorkerNode) => boolean): WorkerNode | undefined {
        return this.index.find(demand, this.scarcest, accepts);
    }

    /** Chooses the resource that orders workers from what is committed. */
    public updateScarcest(): void {
        const processors = this.committed.processorMillicores / Math.max(1, this.totalCapacity.processorMillicores);
        const memory = this.committed.memoryBytes / Math.max(1, this.totalCapacity.memoryBytes);
        this.scarcest = memory > processors ? OrderingResource.Memory : OrderingResource.Processor;
    }

    /** Tells whether some known worker could hold the demand when empty. */
    public couldFit(demand: Resources): boolean {
        for (const worker of this.workers.values()) {
            if (fitsInto(demand, worker.capacity)) {
                return true;
            }
        }
        return false;
    }

    private replaceView(worker: WorkerNode, replace: () => void): void {
        this.totalCapacity = subtractResources(this.totalCapacity, worker.capacity);
        replace();
        this.totalCapacity = addResources(this.totalCapacity, worker.capacity);
        this.refresh(worker);
    }

    private forgetWhenEmpty(worker: WorkerNode): void {
        if (worker.isGone && worker.running.size === 0) {
            this.workers.delete(worker.workerId);
        }
    }
}
