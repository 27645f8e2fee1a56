import type { Resources } from "@skylarkpath/common/model/Resources";
import { fitsInto, NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ShapeQueue } from "../groups/ShapeQueue.js";

const DEFAULT_SHARE = 1;

/** What a team has running, against its share and its allotment. */
export class TeamAccount {
    /** Dominant share divided by the team's weight. */
    public weightedShare = 0;
    /** Queues of the team in all priority classes. */
    public readonly queues: ShapeQueue[] = [];
    /** Queues that wait until the team has room under its allotment. */
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

    /** Takes over the policy; a team without one may run nothing. */
    public setPolicy(policy: TeamPolicy | undefined): void {
        this.share = policy !== undefined && policy.share > 0 ? policy.share : DEFAULT_SHARE;
        this.currentAllotment = policy?.allotment.resources ?? NO_RESOURCES;
    }

    /** Keeps room under the allotment for a gang; tasks that start before it leave this room. */
    public setReserved(amount: Resources): void {
        this.reserved = amount;
    }

    /** Tells whether the whole allotment could hold an amount. */
    public fitsWholeAllotment(amount: Resources): boolean {
        return fitsInto(amount, this.currentAllotment);
    }

    /** Tells whether the allotment has room for a task beside what is kept for a gang. */
    public fitsUnreservedAllotment(demand: Resources): boolean {
        const { allotment, reserved } = this;
        return this.usedProcessorMillicores + reserved.processorMillicores + demand.processorMillicores
                <= allotment.processorMillicores
            && this.usedMemoryBytes + reserved.memoryBytes + demand.memoryBytes <= allotment.memoryBytes
            && this.usedAccelerators + reserved.accelerators + demand.accelerators <= allotment.accelerators;
    }

    /** Tells whether the allotment has room for so many tasks of the size. */
    public fitsAllotment(demand: Resources, count: number): boolean {
        const allotment = this.currentAllotment;
        return this.usedProcessorMillicores + count * demand.processorMillicores <= allotment.processorMillicores
            && this.usedMemoryBytes + count * demand.memoryBytes <= allotment.memoryBytes
            && this.usedAccelerators + count * demand.accelerators <= allotment.accelerators;
    }

    /** What the allotment lacks for so many tasks of the size. */
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

    /** Counts a task as running. */
    public addUsage(amount: Resources, fleetCapacity: Resources): void {
        this.usedProcessorMillicores += amount.processorMillicores;
        this.usedMemoryBytes += amount.memoryBytes;
        this.usedAccelerators += amount.accelerators;
        this.updateShare(fleetCapacity);
    }

    /** Counts a task as ended. */
    public removeUsage(amount: Resources, fleetCapacity: Resources): void {
        this.usedProcessorMillicores -= amount.processorMillicores;
        this.usedMemoryBytes -= amount.memoryBytes;
        this.usedAccelerators -= amount.accelerators;
        this.updateShare(fleetCapacity);
    }

    /** Computes the weighted dominant share anew. */
    public updateShare(fleetCapacity: Resources): void {
        const dominantShare = Math.max(
            fractionOf(this.usedProcessorMillicores, fleetCapacity.processorMillicores),
            fractionOf(this.usedMemoryBytes, fleetCapacity.memoryBytes),
            fractionOf(this.usedAccelerators, fleetCapacity.accelerators)
        );
        this.weightedShare = dominantShare / this.share;
    }

    /** Weighted dominant share of so many tasks of a size alone. */
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
