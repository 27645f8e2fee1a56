import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { RankedStep } from "./StepOrder.js";

interface Reservation {
    readonly step: StepState;
    readonly priority: number;
    readonly workers: ReadonlySet<WorkerState>;
}

/** How a step may use a worker. */
export enum WorkerUse {
    Free = "free",
    /** Only when no other worker has room. */
    LastResort = "last-resort",
    Reserved = "reserved"
}

/** Gangs for which room is kept free at the same time. */
const MAXIMUM_RESERVATIONS = 3;
/** Room that is reserved, as a multiple of what the gang needs, where there is as much. */
const SPARE_FACTOR = 1.25;

/** Keeps room free for gangs that wait, until they start: more urgent steps use it as a last resort, others not at all. */
export class GangReservations {
    private readonly reservations = new Map<StepState, Reservation>();

    /** Drops the reservations of gangs that do not wait any more or may not start, or whose workers are not usable. */
    public refresh(nowMs: number, mayStart: (step: StepState) => boolean): void {
        for (const [step, { workers }] of this.reservations) {
            const isWaiting = !step.done && !step.job.final && step.waitingCount === step.tasks.length;
            if (!isWaiting || !mayStart(step) || [...workers].some(worker => !worker.canStart(nowMs))) {
                this.reservations.delete(step);
            }
        }
    }

    /** Reserves the workers that will have room for a gang soonest. */
    public reserve(ranked: RankedStep, possible: readonly WorkerState[]): void {
        if (this.reservations.has(ranked.step) || this.reservations.size >= MAXIMUM_RESERVATIONS) {
            return;
        }
        const { size, filler, maximumPerWorker } = ranked.step.spec;
        const most = maximumPerWorker > 0 ? maximumPerWorker : Number.MAX_SAFE_INTEGER;
        const rooms = possible.filter(worker => this.holderOf(worker) === undefined).map(worker => ({
            worker,
            now: Math.min(most, worker.fits(size, filler)),
            whole: Math.min(most, worker.fitsInTheEnd(size))
        }));
        rooms.sort((left, right) => right.now - left.now || right.whole - left.whole);
        const needed = ranked.step.tasks.length;
        const workers = new Set<WorkerState>();
        let room = 0;
        for (const { worker, whole } of rooms) {
            if (room >= needed * SPARE_FACTOR) {
                break;
            }
            workers.add(worker);
            room += whole;
        }
        if (room >= needed) {
            this.reservations.set(ranked.step, { step: ranked.step, priority: ranked.queue.priority, workers });
        }
    }

    /** Tells how a step may use a worker. */
    public useOf(ranked: RankedStep, worker: WorkerState): WorkerUse {
        const holder = this.holderOf(worker);
        if (!holder || holder.step === ranked.step) {
            return WorkerUse.Free;
        }
        return ranked.queue.priority < holder.priority ? WorkerUse.LastResort : WorkerUse.Reserved;
    }

    private holderOf(worker: WorkerState): Reservation | undefined {
        for (const reservation of this.reservations.values()) {
            if (reservation.workers.has(worker)) {
                return reservation;
            }
        }
        return undefined;
    }
}
