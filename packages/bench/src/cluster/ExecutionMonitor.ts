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
export interface ExecutionSummary {
    readonly taskStarts: number;
    readonly doubleRuns: number;
    readonly doubleOrders: number;
    readonly overCapacity: number;
    readonly highestSlotsByTeam: Readonly<Record<string, number>>;
    readonly highestMillicoresByTeam: Readonly<Record<string, number>>;
}

const ORDER_MARKER = "order:";

/** Watches what runs where, to find promises that were broken. */
export class ExecutionMonitor {
    private readonly runningTasks = new Set<string>();
    private readonly usedByWorker = new Map<string, Resources>();
    private readonly slotsByTeam = new Map<string, number>();
    private readonly millicoresByTeam = new Map<string, number>();
    private readonly peakSlotsByTeam = new Map<string, number>();
    private readonly peakMillicoresByTeam = new Map<string, number>();
    private readonly startedOrders = new Set<string>();
    private taskStarts = 0;
    private doubleRuns = 0;
    private doubleOrders = 0;
    private overCapacity = 0;

    /** What was seen so far. */
    public get summary(): ExecutionSummary {
        return {
            taskStarts: this.taskStarts,
            doubleRuns: this.doubleRuns,
            doubleOrders: this.doubleOrders,
            overCapacity: this.overCapacity,
            highestSlotsByTeam: Object.fromEntries(this.peakSlotsByTeam),
            highestMillicoresByTeam: Object.fromEntries(this.peakMillicoresByTeam)
        };
    }

    /** Notes the start of a task at a worker. */
    public recordTaskStart(workerId: string, task: WorkerTask, capacity: Resources): void {
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
        changeUsage(this.millicoresByTeam, this.peakMillicoresByTeam, task.team, task.resources.processorMillicores);
    }

    /** Notes the end of a task at a worker. */
    public recordTaskEnd(workerId: string, task: WorkerTask): void {
        this.runningTasks.delete(task.taskId);
        const used = subtractResources(this.usedByWorker.get(workerId) ?? NO_RESOURCES, task.resources);
        this.usedByWorker.set(workerId, used);
        changeUsage(this.millicoresByTeam, this.peakMillicoresByTeam, task.team, -task.resources.processorMillicores);
    }

    /** Notes the start of an attempt at a target; orders are told by a mark in their payload. */
    public recordAttemptStart(request: TargetRequest): void {
        changeUsage(this.slotsByTeam, this.peakSlotsByTeam, request.team, 1);
        const markerIndex = request.payload.indexOf(ORDER_MARKER);
        if (markerIndex < 0) {
            return;
        }
        const order = request.payload.slice(markerIndex);
        if (this.startedOrders.has(order)) {
            this.doubleOrders++;
        }
        this.startedOrders.add(order);
    }

    /** Notes the end of an attempt at a target. */
    public recordAttemptEnd(request: TargetRequest): void {
        changeUsage(this.slotsByTeam, this.peakSlotsByTeam, request.team, -1);
    }
}

function changeUsage(current: Map<string, number>, peak: Map<string, number>, team: string, change: number): void {
    const value = (current.get(team) ?? 0) + change;
    current.set(team, value);
    peak.set(team, Math.max(peak.get(team) ?? 0, value));
}
