import type { Resources } from "@skylarkpath/common/model/Resources";
import { fitsInto, NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { Fleet } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import { PreemptionStage, type RunningTask } from "../groups/RunningTask.js";
import type { TeamAccount } from "../teams/TeamAccount.js";

/** Tasks to stop on a worker, so that a demand fits there. */
export interface VictimChoice {
    readonly worker: WorkerNode;
    readonly victims: readonly RunningTask[];
    readonly cost: number;
}

/** What victims have to free. */
export interface VictimSearch {
    readonly demand: Resources;
    /** Victims are of this team only and free the shortage of its allotment. */
    readonly onlyTeam?: TeamAccount;
    readonly shortage: Resources;
    /** Teams above this weighted share lose their tasks first. */
    readonly fairLevel: number;
    readonly nowMs: number;
}

interface PricedTask {
    readonly task: RunningTask;
    readonly cost: number;
}

const CHECKPOINT_COST_MS = 1_000;
const CHECKPOINTED_LOSS_FACTOR = 0.05;
const ABOVE_SHARE_FACTOR = 0.5;
const MAX_WORKERS_SEARCHED = 256;

/** Finds the cheapest tasks to stop among a few workers. */
export class VictimFinder {
    constructor(
        private readonly fleet: Fleet,
        private readonly random: RandomSource,
        private readonly candidates: number
    ) {}

    /** Returns the cheapest choice found. */
    public find(search: VictimSearch): VictimChoice | undefined {
        const workers = this.fleet.takingTasks();
        const offset = nextInteger(this.random, Math.max(1, workers.length));
        const limit = Math.min(workers.length, MAX_WORKERS_SEARCHED);
        let best: VictimChoice | undefined;
        for (let step = 0; step < limit && (best === undefined || step < this.candidates); step++) {
            const worker = workers[(offset + step) % workers.length]!;
            const choice = worker.reservation === undefined ? chooseOn(worker, search) : undefined;
            if (choice !== undefined && (best === undefined || choice.cost < best.cost)) {
                best = choice;
            }
        }
        return best;
    }
}

function chooseOn(worker: WorkerNode, search: VictimSearch): VictimChoice | undefined {
    if (!fitsInto(search.demand, worker.capacity)) {
        return undefined;
    }
    const priced = priceTasks(worker, search);
    const chosen: PricedTask[] = [];
    for (const next of priced) {
        if (isEnough(worker, chosen, search)) {
            break;
        }
        chosen.push(next);
    }
    if (!isEnough(worker, chosen, search)) {
        return undefined;
    }
    const needed = dropUnneeded(worker, chosen, search);
    return {
        worker,
        victims: needed.map(({ task }) => task),
        cost: needed.reduce((sum, { cost }) => sum + cost, 0)
    };
}

function priceTasks(worker: WorkerNode, search: VictimSearch): readonly PricedTask[] {
    const priced: PricedTask[] = [];
    for (const task of worker.running) {
        if (mayBeStopped(task, search)) {
            priced.push({ task, cost: costOf(task, search) });
        }
    }
    return priced.sort((left, right) => left.cost - right.cost);
}

function mayBeStopped(task: RunningTask, search: VictimSearch): boolean {
    return !task.group.definition.urgent
        && !task.group.definition.neverPreempted
        && !task.group.isService
        && task.stage === PreemptionStage.None
        && (search.onlyTeam === undefined || task.group.team === search.onlyTeam);
}

/** Work that is lost when a task stops, more for one stopped before and for a member of a gang. */
function costOf(task: RunningTask, search: VictimSearch): number {
    const elapsedMs = Math.max(0, search.nowMs - task.startedAtMs);
    const lostMs = task.group.definition.checkpointable
        ? CHECKPOINT_COST_MS + elapsedMs * CHECKPOINTED_LOSS_FACTOR
        : CHECKPOINT_COST_MS + elapsedMs;
    const members = task.group.isGang ? task.group.running.size : 1;
    const stoppedBefore = 1 + task.group.preemptionCount / Math.max(1, task.group.running.size);
    const shareFactor = task.group.team.weightedShare > search.fairLevel ? ABOVE_SHARE_FACTOR : 1;
    return lostMs * members * stoppedBefore * shareFactor;
}

/** Removes the most expensive tasks that need not stop. */
function dropUnneeded(worker: WorkerNode, chosen: readonly PricedTask[], search: VictimSearch): readonly PricedTask[] {
    let needed = chosen;
    for (let position = chosen.length - 1; position >= 0; position--) {
        const without = needed.filter(priced => priced !== chosen[position]);
        if (isEnough(worker, without, search)) {
            needed = without;
        }
    }
    return needed;
}

function isEnough(worker: WorkerNode, chosen: readonly PricedTask[], search: VictimSearch): boolean {
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
