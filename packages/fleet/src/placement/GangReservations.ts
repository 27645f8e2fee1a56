import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { QueuedStep, RankedStep } from "./RankedStep.js";

interface Reservation {
    readonly ranked: RankedStep;
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
 * resort, other steps not at all. A reservation lasts only as long as the gang would fit on its workers, by the present
 * rules, once all tasks there that end by themselves have ended.
 */
export class GangReservations {
    private readonly reservations = new Map<StepState, Reservation>();

    /**
     * Drops the reservations that no longer hold. `findStartable` finds a step if it may start now, `canUse` tells
     * whether a step may use a worker as soon as there is room.
     */
    public refresh(
        findStartable: (step: StepState) => RankedStep | undefined,
        canUse: (ranked: RankedStep, worker: WorkerState) => boolean
    ): void {
        for (const [step, { workers }] of this.reservations) {
            const ranked = findStartable(step);
            const holds = ranked && [...workers].every(worker => canUse(ranked, worker))
                && sum([...workers].map(worker => countEventualFits(ranked, worker))) >= step.tasks.length;
            if (holds) {
                this.reservations.set(step, { ranked, workers });
            }
            else {
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
        const { size, filler } = ranked.step.spec;
        const fits = eligible.filter(worker => this.reservationOf(worker) === undefined).map(worker => ({
            worker,
            fitsNow: Math.min(maximumPerWorker(ranked), worker.countFits(size, filler)),
            fitsEventually: countEventualFits(ranked, worker)
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
            this.reservations.set(ranked.step, { ranked, workers });
        }
    }

    /** Returns whether a step may use a worker. */
    public useOf(queued: QueuedStep, worker: WorkerState): WorkerUse {
        const reservation = this.reservationOf(worker);
        if (!reservation || reservation.ranked.step === queued.step) {
            return WorkerUse.Free;
        }
        const isMoreUrgent = queued.queue.priority < reservation.ranked.queue.priority;
        return isMoreUrgent ? WorkerUse.LastResort : WorkerUse.Reserved;
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

function maximumPerWorker({ step: { spec } }: RankedStep): number {
    return spec.maximumPerWorker > 0 ? spec.maximumPerWorker : Number.MAX_SAFE_INTEGER;
}

/** Returns how many members of a gang fit on a worker once all tasks that end by themselves have ended there. */
function countEventualFits(ranked: RankedStep, worker: WorkerState): number {
    return Math.min(maximumPerWorker(ranked), worker.countEventualFits(ranked.step.spec.size));
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
