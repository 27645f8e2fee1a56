import { addResources, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import { chargedResources, type WorkerState } from "../state/WorkerState.js";
import { countProcessors } from "./DelayCost.js";
import { countCapacityFits } from "./workerFit.js";

/** Work that takes room of a pool. */
export interface RoomDemand {
    /** Part of the pool that it fills, by its scarcest resource. */
    readonly share: number;
    /** The same, times the time for which it fills it, in ms. */
    readonly shareMs: number;
}

/** Room of a pool, and the work that waits for it. */
export class PoolRoom {
    private readonly capacity: ResourceSum = createResourceSum();
    private readonly free: ResourceSum = createResourceSum();
    private readonly workers: WorkerState[] = [];
    private waitingShareMs = 0;

    /** Adds a worker that takes new tasks, with what is in use there. */
    public addWorker(worker: WorkerState): void {
        const { capacity } = worker.entry;
        this.workers.push(worker);
        addResources(this.capacity, capacity);
        addResources(this.free, capacity);
        addResources(this.free, worker.used, -1);
    }

    /** Returns whether a worker has the label and the capacity that tasks of a step need. */
    public canRun(step: StepState): boolean {
        return this.workers.some(worker => countCapacityFits(worker, step) > 0);
    }

    /** Processors of the pool, with its accelerators. */
    public get processors(): number {
        return countProcessors(this.capacity);
    }

    /** Returns the part of the pool that a number of tasks of a step fill, by the scarcest resource. */
    public shareOf(step: StepState, taskCount: number): number {
        const { cpuMilli, memoryMb, accelerators } = chargedResources(step.spec);
        return taskCount * Math.max(
            shareOf(cpuMilli, this.capacity.cpuMilli),
            shareOf(memoryMb, this.capacity.memoryMb),
            shareOf(accelerators, this.capacity.accelerators)
        );
    }

    /** Part of the pool that is free, by its scarcest resource. */
    public get freeShare(): number {
        const shares = [
            shareOf(this.free.cpuMilli, this.capacity.cpuMilli),
            shareOf(this.free.memoryMb, this.capacity.memoryMb),
            this.capacity.accelerators === 0 ? 1 : shareOf(this.free.accelerators, this.capacity.accelerators)
        ];
        return Math.max(0, Math.min(...shares));
    }

    /** Adds waiting work. */
    public add({ shareMs }: RoomDemand): void {
        this.waitingShareMs += shareMs;
    }

    /** Mean time in ms until a part of the work that was added starts: half of the time that the pool takes for it. */
    public get meanWaitMs(): number {
        return this.waitingShareMs / 2;
    }
}

/** Returns the room of each pool, without the workers that take no new tasks. */
export function measurePools(fleet: FleetState, nowMs: number): ReadonlyMap<string, PoolRoom> {
    const pools = new Map<string, PoolRoom>();
    for (const worker of fleet.workers.values()) {
        if (worker.canStart(nowMs)) {
            const { pool } = worker.entry;
            const room = pools.get(pool) ?? new PoolRoom();
            room.addWorker(worker);
            pools.set(pool, room);
        }
    }
    return pools;
}

function shareOf(amount: number, capacity: number): number {
    if (amount <= 0) {
        return 0;
    }
    return capacity > 0 ? amount / capacity : 1;
}
