import type { WorkerState } from "../state/WorkerState.js";
import type { RankedStep } from "./StepOrder.js";

/** Gangs for which room is kept free at the same time. */
const MAXIMUM_RESERVATIONS = 3;

/** Keeps room free for gangs that wait: less urgent steps do not start on workers that are reserved. */
export class GangReservations {
    private readonly priorityByWorker = new Map<WorkerState, number>();
    private count = 0;

    /** Reserves the workers that will have room for a gang soonest. */
    public reserve(ranked: RankedStep, possible: readonly WorkerState[]): void {
        if (this.count >= MAXIMUM_RESERVATIONS) {
            return;
        }
        const { size, filler } = ranked.step.spec;
        const free = possible.filter(worker => !this.priorityByWorker.has(worker));
        const rooms = free.map(worker => ({ worker, now: worker.fits(size, filler), whole: countWhole(worker, size) }));
        rooms.sort((left, right) => right.now - left.now || right.whole - left.whole);
        let missing = ranked.step.tasks.length;
        const chosen: WorkerState[] = [];
        for (const room of rooms) {
            if (missing <= 0) {
                break;
            }
            chosen.push(room.worker);
            missing -= room.whole;
        }
        if (missing > 0) {
            return;
        }
        this.count++;
        for (const worker of chosen) {
            this.priorityByWorker.set(worker, ranked.queue.priority);
        }
    }

    /** Tells whether a step may start tasks on a worker. */
    public allows(ranked: RankedStep, worker: WorkerState): boolean {
        const reserved = this.priorityByWorker.get(worker);
        return reserved === undefined || ranked.queue.priority < reserved;
    }
}

function countWhole(worker: WorkerState, size: { readonly cpuMilli: number; readonly memoryMb: number; }): number {
    const { capacity } = worker.entry;
    const byCpu = size.cpuMilli > 0 ? Math.floor(capacity.cpuMilli / size.cpuMilli) : Number.MAX_SAFE_INTEGER;
    const byMemory = size.memoryMb > 0 ? Math.floor(capacity.memoryMb / size.memoryMb) : Number.MAX_SAFE_INTEGER;
    return Math.min(byCpu, byMemory);
}
