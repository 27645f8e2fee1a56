import { addResources, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { QueuedStep } from "../placement/RankedStep.js";
import { countCapacityFits, countFreeFits } from "../placement/workerFit.js";
import type { FleetState } from "../state/FleetState.js";
import { chargedResources, type WorkerState } from "../state/WorkerState.js";

/** Whether a worker is reserved for a gang that goes before a step. */
export type IsReserved = (queued: QueuedStep, worker: WorkerState) => boolean;

/** Room of a worker that no step has drawn. */
interface WorkerRoom {
    readonly worker: WorkerState;
    /** In use, or drawn from what is free. */
    readonly taken: ResourceSum;
    /** CPU that is expected to become free while permits are valid. */
    turnoverCpuMilli: number;
}

/** Part of a worker's capacity, and of what a team uses, that is expected to become free while permits are valid. */
const TURNOVER_SHARE = 0.5;

/**
 * Limits the requests for permits to steps that could start before these expire. In their order, steps draw from what is
 * free on each worker and from what is expected to become free there. A step draws only what it could use, so that work
 * that can't start leaves the room of all other workers to the steps behind it.
 */
export class CapacityBudget {
    private readonly rooms = new Map<string, WorkerRoom[]>();
    /** What teams have drawn, less what is expected to become free. */
    private readonly drawnByTeam = new Map<string, ResourceSum>();

    /** `rotation` chooses the workers that steps draw from first, so that no worker always counts as taken. */
    constructor(
        private readonly fleet: FleetState,
        nowMs: number,
        private readonly isReserved: IsReserved,
        rotation = 0
    ) {
        for (const worker of fleet.workers.values()) {
            if (worker.canStart(nowMs)) {
                const { pool, capacity } = worker.entry;
                const room = {
                    worker,
                    taken: { ...worker.used },
                    turnoverCpuMilli: capacity.cpuMilli * TURNOVER_SHARE
                };
                this.roomsOf(pool).push(room);
            }
        }
        for (const [pool, rooms] of this.rooms) {
            const first = rotation % rooms.length;
            this.rooms.set(pool, [...rooms.slice(first), ...rooms.slice(0, first)]);
        }
    }

    /** Draws what the waiting tasks of a step could use of a pool; returns false if that is nothing. */
    public draw(queued: QueuedStep): boolean {
        const { step, queue } = queued;
        const { gang, size } = step.spec;
        const { team } = step.job.spec;
        const drawnByTeam = this.drawnBy(team);
        const allowance = this.fleet.countWithinTeamLimit(team, size, drawnByTeam);
        const wanted = gang && allowance < step.waitingCount ? 0 : Math.min(step.waitingCount, allowance);
        const rooms = this.roomsOf(queue.pool);
        const drawn = gang ? this.drawForGang(queued, rooms, wanted) : this.drawForTasks(queued, rooms, wanted);
        addResources(drawnByTeam, size, drawn);
        return drawn > 0;
    }

    private drawForTasks(queued: QueuedStep, rooms: readonly WorkerRoom[], wanted: number): number {
        const free = this.drawFree(queued, rooms, wanted);
        return free + this.drawTurnover(queued, rooms, wanted - free);
    }

    /** A gang starts as a whole: it draws what is free only if all members fit there. */
    private drawForGang(queued: QueuedStep, rooms: readonly WorkerRoom[], wanted: number): number {
        const { step } = queued;
        const countAll = (countIn: (room: WorkerRoom) => number): number => {
            let count = 0;
            for (const room of rooms) {
                const fitCount = count < wanted ? countIn(room) : 0;
                count += fitCount > 0 && this.mayUse(queued, room.worker) ? fitCount : 0;
            }
            return count;
        };
        if (wanted === 0 || countAll(({ worker }) => countCapacityFits(worker, step)) < wanted) {
            return 0;
        }
        return countAll(room => countFreeFits(room.worker, step, room.taken)) < wanted
            ? this.drawTurnover(queued, rooms, wanted)
            : this.drawFree(queued, rooms, wanted);
    }

    private drawFree(queued: QueuedStep, rooms: readonly WorkerRoom[], wanted: number): number {
        const { step } = queued;
        let drawn = 0;
        for (const room of rooms) {
            if (drawn >= wanted) {
                break;
            }
            const count = Math.min(countFreeFits(room.worker, step, room.taken), wanted - drawn);
            if (count > 0 && this.mayUse(queued, room.worker)) {
                addResources(room.taken, chargedResources(step.spec), count);
                drawn += count;
            }
        }
        return drawn;
    }

    /** Draws CPU that is expected to become free; the last task that it is drawn for may need more than there is. */
    private drawTurnover(queued: QueuedStep, rooms: readonly WorkerRoom[], wanted: number): number {
        const { step } = queued;
        const { cpuMilli } = chargedResources(step.spec);
        let neededCpuMilli = cpuMilli * wanted;
        for (const room of rooms) {
            if (neededCpuMilli <= 0) {
                break;
            }
            const count = room.turnoverCpuMilli > 0 ? countCapacityFits(room.worker, step) : 0;
            if (count > 0 && this.mayUse(queued, room.worker)) {
                const drawnCpuMilli = Math.min(room.turnoverCpuMilli, cpuMilli * count, neededCpuMilli);
                room.turnoverCpuMilli -= drawnCpuMilli;
                neededCpuMilli -= drawnCpuMilli;
            }
        }
        return cpuMilli > 0 ? wanted - Math.floor(neededCpuMilli / cpuMilli) : 0;
    }

    /** Whether the policy may allow a worker, as far as it has answered, and no gang reserves it. */
    private mayUse(queued: QueuedStep, worker: WorkerState): boolean {
        const { incarnation } = worker.entry;
        const { answeredWorkers, byWorker } = queued.step.permits;
        const isDenied = answeredWorkers.get(worker.id) === incarnation
            && byWorker.get(worker.id)?.incarnation !== incarnation;
        return !isDenied && !this.isReserved(queued, worker);
    }

    private roomsOf(pool: string): WorkerRoom[] {
        const rooms = this.rooms.get(pool) ?? [];
        this.rooms.set(pool, rooms);
        return rooms;
    }

    private drawnBy(team: string): ResourceSum {
        let drawn = this.drawnByTeam.get(team);
        if (!drawn) {
            drawn = createResourceSum();
            addResources(drawn, this.fleet.usedBy(team), -TURNOVER_SHARE);
            this.drawnByTeam.set(team, drawn);
        }
        return drawn;
    }
}
