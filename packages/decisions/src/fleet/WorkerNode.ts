import type { Resources } from "@skylarkpath/common/model/Resources";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { RunningTask } from "../groups/RunningTask.js";
import { WorkerCondition } from "../health/WorkerCondition.js";
import type { Reservation } from "../tasks/Reservation.js";
import type { WorkerIndex } from "./WorkerIndex.js";

/** Position of a worker that is in no cell of an index. */
export const NOT_INDEXED = -1;

/** Worker with what runs on it and what is free. */
export class WorkerNode {
    public readonly running = new Set<RunningTask>();
    /** Index that holds the worker, its cell and position there; set by that index. */
    public index: WorkerIndex | undefined;
    public cellIndex = NOT_INDEXED;
    public cellPosition = NOT_INDEXED;
    public freeProcessorMillicores = 0;
    public freeMemoryBytes = 0;
    public freeAccelerators = 0;
    public condition = WorkerCondition.Healthy;
    /** Group for which the worker is kept. */
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

    /** New tasks may start here. */
    public get acceptsTasks(): boolean {
        if (!this.currentSchedulable || this.condition === WorkerCondition.Quarantined) {
            return false;
        }
        return this.condition === WorkerCondition.Healthy || this.running.size === 0;
    }

    public get isAbsent(): boolean {
        return this.absent;
    }

    /** Tells whether a view brings nothing new. */
    public matchesView(view: WorkerView): boolean {
        const { capacity } = this;
        return !this.absent
            && this.currentSchedulable === view.schedulable
            && this.currentRack === view.rack
            && capacity.processorMillicores === view.capacity.processorMillicores
            && capacity.memoryBytes === view.capacity.memoryBytes
            && capacity.accelerators === view.capacity.accelerators;
    }

    /** Takes over what the worker holds; what runs on it stays counted. */
    public setView(view: WorkerView): void {
        this.freeProcessorMillicores += view.capacity.processorMillicores - this.currentCapacity.processorMillicores;
        this.freeMemoryBytes += view.capacity.memoryBytes - this.currentCapacity.memoryBytes;
        this.freeAccelerators += view.capacity.accelerators - this.currentCapacity.accelerators;
        this.currentCapacity = view.capacity;
        this.currentRack = view.rack;
        this.currentSchedulable = view.schedulable;
        this.absent = false;
    }

    /** Marks the worker as gone; it holds nothing from now on. */
    public setAbsent(): void {
        this.setView({ workerId: this.workerId, rack: this.currentRack, capacity: NO_RESOURCES, schedulable: false });
        this.absent = true;
    }

    /** Returns what is free as a copy that may be changed. */
    public copyFree(): { processorMillicores: number; memoryBytes: number; accelerators: number; } {
        return {
            processorMillicores: this.freeProcessorMillicores,
            memoryBytes: this.freeMemoryBytes,
            accelerators: this.freeAccelerators
        };
    }

    /** Tells whether the demand fits into what is free. */
    public fits(demand: Resources): boolean {
        return demand.processorMillicores <= this.freeProcessorMillicores
            && demand.memoryBytes <= this.freeMemoryBytes
            && demand.accelerators <= this.freeAccelerators;
    }

    /** Takes an amount from what is free; may go below zero for tasks found running. */
    public allocate(amount: Resources): void {
        this.freeProcessorMillicores -= amount.processorMillicores;
        this.freeMemoryBytes -= amount.memoryBytes;
        this.freeAccelerators -= amount.accelerators;
    }

    /** Gives an amount back. */
    public release(amount: Resources): void {
        this.freeProcessorMillicores += amount.processorMillicores;
        this.freeMemoryBytes += amount.memoryBytes;
        this.freeAccelerators += amount.accelerators;
    }
}
