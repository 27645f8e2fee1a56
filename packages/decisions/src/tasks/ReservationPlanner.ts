import type { Resources } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { Fleet } from "../fleet/Fleet.js";
import { countFitting } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import { remainingRunTimeMs } from "../learning/RunTimeEstimator.js";
import type { Reservation } from "./Reservation.js";

/** Capacity for one task of a group on a worker. */
interface Slot {
    readonly worker: WorkerNode;
    readonly freeAtMs: number;
}

/** Resources that a running task is expected to release. */
interface Release {
    readonly endsAtMs: number;
    readonly amount: Resources;
}

const SURPLUS_FACTOR = 3;
const MIN_SURPLUS_SLOTS = 8;

/** Selects workers to reserve for a group, those that are expected to free capacity earliest first. */
export class ReservationPlanner {
    private offset = 0;

    constructor(
        private readonly fleet: Fleet,
        private readonly random: RandomSource
    ) {}

    /** Plans a reservation of unreserved or own workers for all waiting tasks; undefined if they do not fit. */
    public plan(group: GroupState, maxWorkers: number, nowMs: number): Reservation | undefined {
        return this.planSlots(group, group.waitingCount, maxWorkers, nowMs);
    }

    /** Plans a reservation of one worker for one task of a group. */
    public planOne(group: GroupState, nowMs: number): Reservation | undefined {
        return this.planSlots(group, 1, 1, nowMs);
    }

    private planSlots(
        group: GroupState,
        needed: number,
        maxWorkers: number,
        nowMs: number
    ): Reservation | undefined {
        const slots = this.collectSlots(group, needed, nowMs);
        slots.sort((left, right) => left.freeAtMs - right.freeAtMs);
        const chosen = new Map<WorkerNode, number>();
        let startAtMs = nowMs;
        let count = 0;
        for (const { worker, freeAtMs } of slots) {
            if (count === needed) {
                break;
            }
            if (chosen.has(worker) || chosen.size < maxWorkers) {
                chosen.set(worker, (chosen.get(worker) ?? 0) + 1);
                startAtMs = Math.max(startAtMs, freeAtMs);
                count++;
            }
        }
        return count === needed ? { group, taskCounts: chosen, startAtMs } : undefined;
    }

    /**
     * Collects slots, first on the group's reserved workers, then on unreserved ones starting at a random worker. Stops
     * when there are a few times as many as needed, so that a large fleet is not searched as a whole.
     */
    private collectSlots(group: GroupState, needed: number, nowMs: number): Slot[] {
        const slots: Slot[] = [];
        const enoughSlots = needed * SURPLUS_FACTOR + MIN_SURPLUS_SLOTS;
        const workers = this.fleet.listAcceptingWorkers();
        this.offset = nextInteger(this.random, Math.max(1, workers.length));
        for (const worker of group.reservation?.taskCounts.keys() ?? []) {
            this.addSlots(slots, worker, group, needed, nowMs);
        }
        for (let step = 0; step < workers.length && slots.length < enoughSlots; step++) {
            const worker = workers[(this.offset + step) % workers.length]!;
            if (worker.reservation === undefined) {
                this.addSlots(slots, worker, group, needed, nowMs);
            }
        }
        return slots;
    }

    /** Adds the slots of one worker, each with the time when it is expected to be free. */
    private addSlots(
        slots: Slot[],
        worker: WorkerNode,
        group: GroupState,
        needed: number,
        nowMs: number
    ): void {
        const demand = group.shape.resources;
        const slotsWhenEmpty = countFitting(worker.capacity, demand, needed);
        if (!worker.acceptsTasks || slotsWhenEmpty === 0) {
            return;
        }
        const free = worker.copyFree();
        let found = countFitting(free, demand, needed);
        pushSlots(slots, worker, nowMs, found);
        if (found >= slotsWhenEmpty) {
            return;
        }
        for (const { endsAtMs, amount } of this.listReleases(worker, nowMs)) {
            free.processorMillicores += amount.processorMillicores;
            free.memoryBytes += amount.memoryBytes;
            free.accelerators += amount.accelerators;
            const total = countFitting(free, demand, needed);
            pushSlots(slots, worker, endsAtMs, total - found);
            found = total;
            if (found >= slotsWhenEmpty) {
                return;
            }
        }
    }

    private listReleases(worker: WorkerNode, nowMs: number): Release[] {
        const releases: Release[] = [];
        for (const task of worker.running) {
            const remainingMs = remainingRunTimeMs(task.group, nowMs - task.startedAtMs);
            if (Number.isFinite(remainingMs)) {
                releases.push({ endsAtMs: nowMs + remainingMs, amount: task.group.shape.resources });
            }
        }
        return releases.sort((left, right) => left.endsAtMs - right.endsAtMs);
    }
}

function pushSlots(slots: Slot[], worker: WorkerNode, freeAtMs: number, count: number): void {
    for (let slot = 0; slot < count; slot++) {
        slots.push({ worker, freeAtMs });
    }
}
