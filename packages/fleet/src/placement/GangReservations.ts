import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { QueuedStep, RankedStep } from "./RankedStep.js";

interface Reservation {
    readonly step: StepState;
    readonly priority: number;
    readonly workers: ReadonlySet<WorkerState>;
}

/** Whether a step may use a worker, given the reservations of other steps. */
export enum WorkerUse {
    Free = "free",
    /** Only when no other worker can take the task. */
    LastResort = "last-resort",
    Reserved = "reserved"
}

/** Maximum number of gangs that hold a reservation at a time. */
const MAX_RESERVATIONS = 3;
/** Capacity to reserve, as a multiple of what the gang needs; less is reserved when there is not that much. */
const RESERVE_FACTOR = 1.25;

/**
 * Reserves workers for waiting gangs until they start. Steps of more urgent queues may use a reserved worker as a last
 * resort, other steps not at all.
 */
export class GangReservations {
    private readonly reservations = new Map<StepState, Reservation>();

    /** Drops reservations whose gang no longer waits or may not start, or with a worker that takes no new tasks. */
    public refresh(nowMs: number, mayStart: (step: StepState) => boolean): void {
        for (const [step, { workers }] of this.reservations) {
            const isWaiting = !step.done && !step.job.final && step.waitingCount === step.tasks.length;
            if (!isWaiting || !mayStart(step) || [...workers].some(worker => !worker.canStart(nowMs))) {
                this.reservations.delete(step);
            }
        }
    }

    /** Whether a reservation for a gang may be made: it has none yet, and there are not too many. */
    public mayReserve(step: StepState): boolean {
        return !this.reservations.has(step) && this.reservations.size < MAX_RESERVATIONS;
    }

    /**
     * Reserves workers for a gang: first those that fit the most members now, then those that fit the most once all
     * tasks that end by themselves have ended. Nothing is reserved when the gang would not fit even then.
     */
    public reserve(ranked: RankedStep, eligible: readonly WorkerState[]): void {
        if (!this.mayReserve(ranked.step)) {
            return;
        }
        const { size, filler, maximumPerWorker } = ranked.step.spec;
        const maxPerWorker = maximumPerWorker > 0 ? maximumPerWorker : Number.MAX_SAFE_INTEGER;
        const fits = eligible.filter(worker => this.reservationOf(worker) === undefined).map(worker => ({
            worker,
            fitsNow: Math.min(maxPerWorker, worker.countFits(size, filler)),
            fitsEventually: Math.min(maxPerWorker, worker.countEventualFits(size))
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

    /** Returns whether a step may use a worker. */
    public useOf(queued: QueuedStep, worker: WorkerState): WorkerUse {
        const reservation = this.reservationOf(worker);
        if (!reservation || reservation.step === queued.step) {
            return WorkerUse.Free;
        }
        return queued.queue.priority < reservation.priority ? WorkerUse.LastResort : WorkerUse.Reserved;
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
