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
const MAX_RESERVATIONS = 3;
/** Room that is reserved, as a multiple of what the gang needs, where there is as much. */
const RESERVE_FACTOR = 1.25;

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
        if (this.reservations.has(ranked.step) || this.reservations.size >= MAX_RESERVATIONS) {
            return;
        }
        const { size, filler, maximumPerWorker } = ranked.step.spec;
        const maxPerWorker = maximumPerWorker > 0 ? maximumPerWorker : Number.MAX_SAFE_INTEGER;
        const fits = possible.filter(worker => this.reservationOf(worker) === undefined).map(worker => ({
            worker,
            fitsNow: Math.min(maxPerWorker, worker.fits(size, filler)),
            fitsEventually: Math.min(maxPerWorker, worker.fitsInTheEnd(size))
        }));
        fits.sort((left, right) => right.fitsNow - left.fitsNow || right.fitsEventually - left.fitsEventually);
        const needed = ranked.step.tasks.length;
        const workers = new Set<WorkerState>();
        let fitsReserved = 0;
        for (const { worker, fitsEventually } of fits) {
            if (fitsReserved >= needed * RESERVE_FACTOR) {
                break;
            }
            workers.add(worker);
            fitsReserved += fitsEventually;
        }
        if (fitsReserved >= needed) {
            this.reservations.set(ranked.step, { step: ranked.step, priority: ranked.queue.priority, workers });
        }
    }

    /** Tells how a step may use a worker. */
    public useOf(ranked: RankedStep, worker: WorkerState): WorkerUse {
        const reservation = this.reservationOf(worker);
        if (!reservation || reservation.step === ranked.step) {
            return WorkerUse.Free;
        }
        return ranked.queue.priority < reservation.priority ? WorkerUse.LastResort : WorkerUse.Reserved;
    }

    private reservationOf(worker: WorkerState): Reservation | undefined {
        for (const reservation of this.reservations.values()) {
            if (reservation.workers.has(worker)) {
                return reservation;
            }
        }
        return undefined;
    }
}
