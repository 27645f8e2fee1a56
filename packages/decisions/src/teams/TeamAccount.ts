import type { Resources } from "@skylarkpath/common/model/Resources";
import { fitsInto, NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ShapeQueue } from "../groups/ShapeQueue.js";

const DEFAULT_SHARE = 1;

/** Resources that a team uses, with its share and allotment. */
export class TeamAccount {
    /** Dominant share divided by the team's weight. */
    public weightedShare = 0;
    /** Queues of the team in all priority classes. */
    public readonly queues: ShapeQueue[] = [];
    /** Queues that are parked until a task of the team ends or the policies change. */
    public readonly parkedQueues: ShapeQueue[] = [];
    private usedProcessorMillicores = 0;
    private usedMemoryBytes = 0;
    private usedAccelerators = 0;
    private share = DEFAULT_SHARE;
    private currentAllotment = NO_RESOURCES;
    private reserved = NO_RESOURCES;

    constructor(public readonly name: string) {}

    public get allotment(): Resources {
        return this.currentAllotment;
    }

    public get weight(): number {
        return this.share;
    }

    public get usage(): Resources {
        return {
            processorMillicores: this.usedProcessorMillicores,
            memoryBytes: this.usedMemoryBytes,
            accelerators: this.usedAccelerators
        };
    }

    /** Sets the policy; a team without one may start nothing. */
    public setPolicy(policy: TeamPolicy | undefined): void {
        this.share = policy !== undefined && policy.share > 0 ? policy.share : DEFAULT_SHARE;
        this.currentAllotment = policy?.allotment.resources ?? NO_RESOURCES;
    }

    /** Reserves part of the allotment for a waiting gang; other non-urgent tasks may not use it. */
    public setReserved(amount: Resources): void {
        this.reserved = amount;
    }

    /** Returns whether an amount fits into the allotment when the team runs nothing. */
    public fitsWholeAllotment(amount: Resources): boolean {
        return fitsInto(amount, this.currentAllotment);
    }

    /** Returns whether one more task fits into the allotment, less the part reserved for a gang. */
    public fitsUnreservedAllotment(demand: Resources): boolean {
        const { allotment, reserved } = this;
        return this.usedProcessorMillicores + reserved.processorMillicores + demand.processorMillicores
                <= allotment.processorMillicores
            && this.usedMemoryBytes + reserved.memoryBytes + demand.memoryBytes <= allotment.memoryBytes
            && this.usedAccelerators + reserved.accelerators + demand.accelerators <= allotment.accelerators;
    }

    /** Returns whether `count` more tasks of a size fit into the allotment. */
    public fitsAllotment(demand: Resources, count: number): boolean {
        const allotment = this.currentAllotment;
        return this.usedProcessorMillicores + count * demand.processorMillicores <= allotment.processorMillicores
            && this.usedMemoryBytes + count * demand.memoryBytes <= allotment.memoryBytes
            && this.usedAccelerators + count * demand.accelerators <= allotment.accelerators;
    }

    /** Amount by which `count` more tasks of a size would exceed the allotment. */
    public shortageFor(demand: Resources, count: number): Resources {
        const { allotment } = this;
        const processors = this.usedProcessorMillicores + count * demand.processorMillicores;
        const memory = this.usedMemoryBytes + count * demand.memoryBytes;
        const accelerators = this.usedAccelerators + count * demand.accelerators;
        return {
            processorMillicores: Math.max(0, processors - allotment.processorMillicores),
            memoryBytes: Math.max(0, memory - allotment.memoryBytes),
            accelerators: Math.max(0, accelerators - allotment.accelerators)
        };
    }

    /** Adds the resources of a started task. */
    public addUsage(amount: Resources, fleetCapacity: Resources): void {
        this.usedProcessorMillicores += amount.processorMillicores;
        this.usedMemoryBytes += amount.memoryBytes;
        this.usedAccelerators += amount.accelerators;
        this.updateShare(fleetCapacity);
    }

    /** Subtracts the resources of an ended task. */
    public removeUsage(amount: Resources, fleetCapacity: Resources): void {
        this.usedProcessorMillicores -= amount.processorMillicores;
        this.usedMemoryBytes -= amount.memoryBytes;
        this.usedAccelerators -= amount.accelerators;
        this.updateShare(fleetCapacity);
    }

    /** Recomputes the weighted dominant share. */
    public updateShare(fleetCapacity: Resources): void {
        const dominantShare = Math.max(
            fractionOf(this.usedProcessorMillicores, fleetCapacity.processorMillicores),
            fractionOf(this.usedMemoryBytes, fleetCapacity.memoryBytes),
            fractionOf(this.usedAccelerators, fleetCapacity.accelerators)
        );
        this.weightedShare = dominantShare / this.share;
    }

    /** Weighted dominant share of `count` tasks of a size on their own. */
    public weightedShareOf(demand: Resources, count: number, fleetCapacity: Resources): number {
        const dominantShare = Math.max(
            fractionOf(demand.processorMillicores, fleetCapacity.processorMillicores),
            fractionOf(demand.memoryBytes, fleetCapacity.memoryBytes),
            fractionOf(demand.accelerators, fleetCapacity.accelerators)
        );
        return count * dominantShare / this.share;
    }
}

function fractionOf(used: number, capacity: number): number {
    return capacity > 0 ? used / capacity : 0;
}
