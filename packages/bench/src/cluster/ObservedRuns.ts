import {
    addResources,
    fitsInto,
    NO_RESOURCES,
    type Resources,
    subtractResources
} from "@skylarkpath/common/model/Resources";
import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";

/** Broken promises and highest use, as workers and targets have seen them. */
export interface ObservedSummary {
    readonly taskStarts: number;
    readonly doubleRuns: number;
    readonly doubleOrders: number;
    readonly overCapacity: number;
    readonly highestSlotsByTeam: Readonly<Record<string, number>>;
    readonly highestMillicoresByTeam: Readonly<Record<string, number>>;
}

const ORDER_MARK = "order:";

/** Watches what runs where, to find promises that were broken. */
export class ObservedRuns {
    private readonly runningTasks = new Set<string>();
    private readonly usedByWorker = new Map<string, Resources>();
    private readonly slotsByTeam = new Map<string, number>();
    private readonly millicoresByTeam = new Map<string, number>();
    private readonly highestSlots = new Map<string, number>();
    private readonly highestMillicores = new Map<string, number>();
    private readonly orders = new Set<string>();
    private taskStarts = 0;
    private doubleRuns = 0;
    private doubleOrders = 0;
    private overCapacity = 0;

    /** What was seen so far. */
    public get summary(): ObservedSummary {
        return {
            taskStarts: this.taskStarts,
            doubleRuns: this.doubleRuns,
            doubleOrders: this.doubleOrders,
            overCapacity: this.overCapacity,
            highestSlotsByTeam: Object.fromEntries(this.highestSlots),
            highestMillicoresByTeam: Object.fromEntries(this.highestMillicores)
        };
    }

    /** Notes the start of a task at a worker. */
    public taskStarted(workerId: string, task: WorkerTask, capacity: Resources): void {
        this.taskStarts++;
        if (this.runningTasks.has(task.taskId)) {
            this.doubleRuns++;
        }
        this.runningTasks.add(task.taskId);
        const used = addResources(this.usedByWorker.get(workerId) ?? NO_RESOURCES, task.resources);
        this.usedByWorker.set(workerId, used);
        if (!fitsInto(used, capacity)) {
            this.overCapacity++;
        }
        raise(this.millicoresByTeam, this.highestMillicores, task.team, task.resources.processorMillicores);
    }

    /** Notes the end of a task at a worker. */
    public taskEnded(workerId: string, task: WorkerTask): void {
        this.runningTasks.delete(task.taskId);
        const used = subtractResources(this.usedByWorker.get(workerId) ?? NO_RESOURCES, task.resources);
        this.usedByWorker.set(workerId, used);
        raise(this.millicoresByTeam, this.highestMillicores, task.team, -task.resources.processorMillicores);
    }

    /** Notes the start of an attempt at a target; orders are told by a mark in their payload. */
    public attemptStarted(request: TargetRequest): void {
        raise(this.slotsByTeam, this.highestSlots, request.team, 1);
        const mark = request.payload.indexOf(ORDER_MARK);
        if (mark < 0) {
            return;
        }
        const order = request.payload.slice(mark);
        if (this.orders.has(order)) {
            this.doubleOrders++;
        }
        this.orders.add(order);
    }

    /** Notes the end of an attempt at a target. */
    public attemptEnded(request: TargetRequest): void {
        raise(this.slotsByTeam, this.highestSlots, request.team, -1);
    }
}

function raise(current: Map<string, number>, highest: Map<string, number>, team: string, amount: number): void {
    const value = (current.get(team) ?? 0) + amount;
    current.set(team, value);
    highest.set(team, Math.max(highest.get(team) ?? 0, value));
}
