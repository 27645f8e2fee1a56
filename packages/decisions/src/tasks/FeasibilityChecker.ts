import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";

interface InfeasibleGroup {
    readonly group: GroupState;
    readonly sinceMs: number;
}

const MEBIBYTE = 2 ** 20;

/** Detects groups that do not fit on the workers even when these are empty; rejects them after a grace period. */
export class FeasibilityChecker {
    private unchecked: GroupState[] = [];
    private readonly infeasible = new Map<GroupState, InfeasibleGroup>();
    private checkedVersion = 0;

    constructor(private readonly state: SliceState, private readonly options: TaskOptions) {}

    /** Schedules a new group for a check at the next decision. */
    public add(group: GroupState): void {
        this.unchecked.push(group);
    }

    /** Returns whether a group is known not to fit on the workers. */
    public isInfeasible(group: GroupState): boolean {
        return this.infeasible.has(group);
    }

    /** Checks new groups, and infeasible ones again if workers changed; rejects those whose grace period is over. */
    public run(nowMs: number, onRejected: (group: GroupState) => void): void {
        for (const group of this.unchecked) {
            this.check(group, nowMs);
        }
        this.unchecked = [];
        if (this.infeasible.size === 0) {
            return;
        }
        this.recheck(nowMs);
        for (const { group, sinceMs } of this.infeasible.values()) {
            if (nowMs >= sinceMs + this.options.infeasibleGraceMs && group.running.size === 0) {
                this.infeasible.delete(group);
                this.state.reject(group, this.describe(group));
                onRejected(group);
            }
        }
    }

    /** Describes the size that a group needs and the capacity of the largest worker. */
    public describe(group: GroupState): string {
        const demand = group.shape.resources;
        const largest = this.state.fleet.findLargest(demand);
        const largestText = largest === undefined ? "no worker is known" : describeWorker(largest);
        if (!group.isGang) {
            return `a task needs ${describeSize(demand)}, more than any worker holds; ${largestText}`;
        }
        const fitting = this.state.fleet.countFittingTasks(demand, group.waitingCount);
        return `the gang needs ${group.waitingCount} tasks of ${describeSize(demand)} at once, `
            + `the workers hold ${fitting} of them when empty; ${largestText}`;
    }

    private recheck(nowMs: number): void {
        const { version } = this.state.fleet;
        if (version === this.checkedVersion) {
            return;
        }
        this.checkedVersion = version;
        for (const { group } of this.infeasible.values()) {
            this.check(group, nowMs);
        }
    }

    private check(group: GroupState, nowMs: number): void {
        if (this.isFeasible(group)) {
            this.infeasible.delete(group);
        }
        else if (!this.infeasible.has(group)) {
            this.infeasible.set(group, { group, sinceMs: nowMs });
        }
    }

    private isFeasible(group: GroupState): boolean {
        const { fleet } = this.state;
        const { shape } = group;
        const needed = group.isGang ? group.waitingCount : 1;
        if (needed === 1 && shape.feasibleVersion === fleet.version) {
            return true;
        }
        const isFeasible = fleet.workerCount === 0 || fleet.countFittingTasks(shape.resources, needed) >= needed;
        if (isFeasible && needed >= 1) {
            shape.feasibleVersion = fleet.version;
        }
        return isFeasible;
    }
}

/** Formats an amount in the units that operators use in the configuration text. */
export function describeSize(amount: Resources): string {
    const memoryMebibytes = Math.round(amount.memoryBytes / MEBIBYTE);
    return `${amount.processorMillicores} millicores, ${memoryMebibytes} MiB, ${amount.accelerators} accelerators`;
}

function describeWorker(worker: WorkerNode): string {
    return `the largest for it, ${worker.workerId}, holds ${describeSize(worker.capacity)}`;
}
