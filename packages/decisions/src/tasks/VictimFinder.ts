import type { Resources } from "@skylarkpath/common/model/Resources";
import { fitsInto, NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { Fleet } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { PreemptionStage, type RunningTask } from "../groups/RunningTask.js";
import type { TeamAccount } from "../teams/TeamAccount.js";

/** Tasks to stop on a worker so that the demand fits there. */
export interface VictimChoice {
    readonly worker: WorkerNode;
    readonly victims: readonly RunningTask[];
    readonly cost: number;
}

/** Requirements for victims. */
export interface VictimSearch {
    readonly demand: Resources;
    /** If set, victims belong to this team and also free the shortage of its allotment. */
    readonly onlyTeam?: TeamAccount;
    readonly shortage: Resources;
    /** Tasks of teams above this weighted share cost less to stop. */
    readonly fairLevel: number;
    readonly nowMs: number;
}

interface TaskWithCost {
    readonly task: RunningTask;
    readonly cost: number;
}

const CHECKPOINT_COST_MS = 1_000;
const CHECKPOINTABLE_LOSS_FACTOR = 0.05;
const ABOVE_SHARE_COST_FACTOR = 0.5;
const MAX_WORKERS_SEARCHED = 256;

/** Finds the tasks that are cheapest to stop among a sample of workers. */
export class VictimFinder {
    constructor(
        private readonly fleet: Fleet,
        private readonly random: RandomSource,
        private readonly maxCandidates: number
    ) {}

    /** Returns the cheapest choice among the sampled workers, or undefined if none can be cleared. */
    public find(search: VictimSearch): VictimChoice | undefined {
        const workers = this.fleet.listAcceptingWorkers();
        const offset = nextInteger(this.random, Math.max(1, workers.length));
        const limit = Math.min(workers.length, MAX_WORKERS_SEARCHED);
        let best: VictimChoice | undefined;
        for (let step = 0; step < limit && (best === undefined || step < this.maxCandidates); step++) {
            const worker = workers[(offset + step) % workers.length]!;
            const choice = worker.reservation === undefined ? chooseVictims(worker, search) : undefined;
            if (choice !== undefined && (best === undefined || choice.cost < best.cost)) {
                best = choice;
            }
        }
        return best;
    }
}

function chooseVictims(worker: WorkerNode, search: VictimSearch): VictimChoice | undefined {
    if (!fitsInto(search.demand, worker.capacity)) {
        return undefined;
    }
    const tasksByCost = sortByCost(worker, search);
    const chosen: TaskWithCost[] = [];
    for (const next of tasksByCost) {
        if (freesEnough(worker, chosen, search)) {
            break;
        }
        chosen.push(next);
    }
    if (!freesEnough(worker, chosen, search)) {
        return undefined;
    }
    const needed = removeUnneeded(worker, chosen, search);
    return {
        worker,
        victims: needed.map(({ task }) => task),
        cost: needed.reduce((sum, { cost }) => sum + cost, 0)
    };
}

function sortByCost(worker: WorkerNode, search: VictimSearch): readonly TaskWithCost[] {
    const tasksByCost: TaskWithCost[] = [];
    for (const task of worker.running) {
        if (isPreemptible(task, search)) {
            tasksByCost.push({ task, cost: costOf(task, search) });
        }
    }
    return tasksByCost.sort((left, right) => left.cost - right.cost);
}

function isPreemptible(task: RunningTask, search: VictimSearch): boolean {
    return !task.group.definition.urgent
        && !task.group.definition.neverPreempted
        && !task.group.isService
        && task.stage === PreemptionStage.None
        && (search.onlyTeam === undefined || task.group.team === search.onlyTeam);
}

/**
 * Cost of stopping a task: the run time that is lost, a fraction of it for checkpointable tasks. Multiplied by the
 * number of running members for a gang, increased for groups that were preempted before, and halved for teams above
 * their share.
 */
function costOf(task: RunningTask, search: VictimSearch): number {
    const elapsedMs = Math.max(0, search.nowMs - task.startedAtMs);
    const lostMs = task.group.definition.checkpointable
        ? CHECKPOINT_COST_MS + elapsedMs * CHECKPOINTABLE_LOSS_FACTOR
        : CHECKPOINT_COST_MS + elapsedMs;
    const members = task.group.isGang ? task.group.running.size : 1;
    const preemptionFactor = 1 + task.group.preemptionCount / Math.max(1, task.group.running.size);
    const shareFactor = task.group.team.weightedShare > search.fairLevel ? ABOVE_SHARE_COST_FACTOR : 1;
    return lostMs * members * preemptionFactor * shareFactor;
}

/** Removes victims that are not needed, the most expensive first. */
function removeUnneeded(
    worker: WorkerNode,
    chosen: readonly TaskWithCost[],
    search: VictimSearch
): readonly TaskWithCost[] {
    let needed = chosen;
    for (let position = chosen.length - 1; position >= 0; position--) {
        const without = needed.filter(other => other !== chosen[position]);
        if (freesEnough(worker, without, search)) {
            needed = without;
        }
    }
    return needed;
}

function freesEnough(worker: WorkerNode, chosen: readonly TaskWithCost[], search: VictimSearch): boolean {
    let { processorMillicores, memoryBytes, accelerators } = NO_RESOURCES;
    for (const { task } of chosen) {
        const { resources } = task.group.shape;
        processorMillicores += resources.processorMillicores;
        memoryBytes += resources.memoryBytes;
        accelerators += resources.accelerators;
    }
    const { demand, shortage } = search;
    return demand.processorMillicores <= worker.freeProcessorMillicores + processorMillicores
        && demand.memoryBytes <= worker.freeMemoryBytes + memoryBytes
        && demand.accelerators <= worker.freeAccelerators + accelerators
        && fitsInto(shortage, { processorMillicores, memoryBytes, accelerators });
}
