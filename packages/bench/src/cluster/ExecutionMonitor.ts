import {
    addResources,
    fitsInto,
    NO_RESOURCES,
    type Resources,
    subtractResources
} from "@skylarkpath/common/model/Resources";
import type { TargetRequest } from "@skylarkpath/common/platform/TargetService";
import type { WorkerTask } from "@skylarkpath/common/platform/WorkerService";

/** Violated guarantees and peak use, as counted at the workers and targets. */
export interface ExecutionSummary {
    readonly taskStarts: number;
    /** Starts of a task that was already running. */
    readonly doubleRuns: number;
    /** Attempts at an order that had been attempted before. */
    readonly doubleOrders: number;
    /** Task starts after which the running tasks exceeded the capacity of their worker. */
    readonly overCapacity: number;
    /** Highest number of slots in use at once, by team. */
    readonly highestSlotsByTeam: Readonly<Record<string, number>>;
    /** Highest millicores in use at once, by team. */
    readonly highestMillicoresByTeam: Readonly<Record<string, number>>;
}

const ORDER_MARKER = "order:";

/** Records starts and ends at workers and targets to detect double runs, double orders and exceeded capacity. */
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

    /** Counts and peaks so far. */
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

    /** Records the start of a task at a worker. */
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

    /** Records the end of a task at a worker. */
    public recordTaskEnd(workerId: string, task: WorkerTask): void {
        this.runningTasks.delete(task.taskId);
        const used = subtractResources(this.usedByWorker.get(workerId) ?? NO_RESOURCES, task.resources);
        this.usedByWorker.set(workerId, used);
        changeUsage(this.millicoresByTeam, this.peakMillicoresByTeam, task.team, -task.resources.processorMillicores);
    }

    /** Records the start of an attempt at a target; the payload of an order ends with `order:` and its number. */
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

    /** Records the end of an attempt at a target. */
    public recordAttemptEnd(request: TargetRequest): void {
        changeUsage(this.slotsByTeam, this.peakSlotsByTeam, request.team, -1);
    }
}

function changeUsage(current: Map<string, number>, peak: Map<string, number>, team: string, change: number): void {
    const value = (current.get(team) ?? 0) + change;
    current.set(team, value);
    peak.set(team, Math.max(peak.get(team) ?? 0, value));
}
