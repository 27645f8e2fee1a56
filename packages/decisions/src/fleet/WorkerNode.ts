import type { Resources } from "@skylarkpath/common/model/Resources";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { RunningTask } from "../groups/RunningTask.js";
import { WorkerCondition } from "../health/WorkerCondition.js";
import type { Reservation } from "../tasks/Reservation.js";
import type { WorkerIndex } from "./WorkerIndex.js";

/** Cell and position of a worker that is in no index. */
export const NOT_INDEXED = -1;

/** Worker with its running tasks and free resources. */
export class WorkerNode {
    public readonly running = new Set<RunningTask>();
    /** Index that contains the worker, with its cell and the position in that cell; set by the index. */
    public index: WorkerIndex | undefined;
    public cellIndex = NOT_INDEXED;
    public cellPosition = NOT_INDEXED;
    public freeProcessorMillicores = 0;
    public freeMemoryBytes = 0;
    public freeAccelerators = 0;
    public condition = WorkerCondition.Healthy;
    /** Reservation that the worker belongs to, if any. */
    public reservation: Reservation | undefined;
    private currentCapacity = NO_RESOURCES;
    private currentRack = "";
    private currentSchedulable = false;
    private absent = true;

    constructor(public readonly workerId: string) {}

    public get capacity(): Resources {
        return this.currentCapacity;
    }

    public get rack(): string {
        return this.currentRack;
    }

    public get schedulable(): boolean {
        return this.currentSchedulable;
    }

    /** Whether new tasks may start here; a worker on probation runs one task at a time. */
    public get acceptsTasks(): boolean {
        if (!this.currentSchedulable || this.condition === WorkerCondition.Quarantined) {
            return false;
        }
        return this.condition === WorkerCondition.Healthy || this.running.size === 0;
    }

    public get isAbsent(): boolean {
        return this.absent;
    }

    /** Returns whether the worker is present and already has the properties of a view. */
    public matchesView(view: WorkerView): boolean {
        const { capacity } = this;
        return !this.absent
            && this.currentSchedulable === view.schedulable
            && this.currentRack === view.rack
            && capacity.processorMillicores === view.capacity.processorMillicores
            && capacity.memoryBytes === view.capacity.memoryBytes
            && capacity.accelerators === view.capacity.accelerators;
    }

    /** Applies a reported view; resources of running tasks remain allocated. */
    public setView(view: WorkerView): void {
        this.freeProcessorMillicores += view.capacity.processorMillicores - this.currentCapacity.processorMillicores;
        this.freeMemoryBytes += view.capacity.memoryBytes - this.currentCapacity.memoryBytes;
        this.freeAccelerators += view.capacity.accelerators - this.currentCapacity.accelerators;
        this.currentCapacity = view.capacity;
        this.currentRack = view.rack;
        this.currentSchedulable = view.schedulable;
        this.absent = false;
    }

    /** Marks the worker as absent, with no capacity. */
    public setAbsent(): void {
        this.setView({ workerId: this.workerId, rack: this.currentRack, capacity: NO_RESOURCES, schedulable: false });
        this.absent = true;
    }

    /** Returns a mutable copy of the free resources. */
    public copyFree(): { processorMillicores: number; memoryBytes: number; accelerators: number; } {
        return {
            processorMillicores: this.freeProcessorMillicores,
            memoryBytes: this.freeMemoryBytes,
            accelerators: this.freeAccelerators
        };
    }

    /** Returns whether the demand fits into the free resources. */
    public fits(demand: Resources): boolean {
        return demand.processorMillicores <= this.freeProcessorMillicores
            && demand.memoryBytes <= this.freeMemoryBytes
            && demand.accelerators <= this.freeAccelerators;
    }

    /** Allocates resources; adopted running tasks may bring the free amount below zero. */
    public allocate(amount: Resources): void {
        this.freeProcessorMillicores -= amount.processorMillicores;
        this.freeMemoryBytes -= amount.memoryBytes;
        this.freeAccelerators -= amount.accelerators;
    }

    /** Releases resources. */
    public release(amount: Resources): void {
        this.freeProcessorMillicores += amount.processorMillicores;
        this.freeMemoryBytes += amount.memoryBytes;
        this.freeAccelerators += amount.accelerators;
    }
}
