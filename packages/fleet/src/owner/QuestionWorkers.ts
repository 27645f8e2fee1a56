import { countQuestionWorkers, MAX_WORKERS_PER_QUESTION } from "../model/questionSize.js";
import type { QueuedStep } from "../placement/RankedStep.js";
import { countCapacityFits, countFreeFits, hasRequiredLabel } from "../placement/workerFit.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** Permits of a gang are renewed when this share of its members fits on the workers that were allowed. */
const MIN_GANG_FREE_SHARE = 0.6;
/** A permit with less time left than this is renewed. */
const RENEWAL_MARGIN_MS = 150;

/** Chooses the workers that questions to the placement policy name, in one pass over the waiting steps. */
export class QuestionWorkers {
    private readonly usableByPool = new Map<string, readonly WorkerState[]>();

    constructor(private readonly fleet: FleetState, private readonly nowMs: number) {}

    /**
     * Chooses the workers to ask about: those not asked about yet, until enough tasks fit on workers that were allowed;
     * from then on, those whose permits have to be renewed. The members of a gang must all fit on allowed workers once
     * these are empty.
     */
    public choose({ step, queue }: QueuedStep): readonly WorkerState[] {
        const { spec, permits } = step;
        const waiting = step.waitingCount;
        const allowed = this.listAllowed(step, queue.pool);
        let allowedCount = 0;
        let capacityCount = 0;
        const expiring: WorkerState[] = [];
        for (const worker of allowed) {
            const fitCount = countFreeFits(worker, step);
            allowedCount += fitCount;
            capacityCount += countCapacityFits(worker, step);
            const expiresAtMs = permits.byWorker.get(worker.id)?.expiresAtMs ?? 0;
            if (expiresAtMs < this.nowMs + RENEWAL_MARGIN_MS && (spec.gang || fitCount > 0)) {
                expiring.push(worker);
            }
        }
        if (spec.gang && allowedCount >= waiting * MIN_GANG_FREE_SHARE && capacityCount >= waiting) {
            // Members start together, so their permits are renewed together, and before there is capacity for all of
            // them.
            return expiring.length > 0 ? limitWorkers(allowed, step) : [];
        }
        if (!spec.gang && allowedCount >= 1) {
            return limitWorkers(expiring, step);
        }
        return limitWorkers(this.listUsable(queue.pool).filter(worker => isUnknown(step, worker)), step);
    }

    /** Returns whether the policy has denied all workers that could run a step. */
    public isDenied({ step, queue }: QueuedStep): boolean {
        return step.permits.answeredWorkers.size > 0 && this.listAllowed(step, queue.pool).length === 0
            && !this.listUsable(queue.pool).some(worker => isUnknown(step, worker));
    }

    /** Workers that the policy has allowed for a step, also if the permit has expired, and that take new tasks. */
    private listAllowed(step: StepState, pool: string): readonly WorkerState[] {
        const allowed: WorkerState[] = [];
        for (const [id, { incarnation }] of step.permits.byWorker) {
            const worker = this.fleet.workers.get(id);
            const isCurrent = worker?.entry.incarnation === incarnation && worker.entry.pool === pool;
            if (worker && isCurrent && hasRequiredLabel(worker, step) && worker.canStart(this.nowMs)) {
                allowed.push(worker);
            }
        }
        return allowed;
    }

    /** Workers of a pool that take new tasks. */
    private listUsable(pool: string): readonly WorkerState[] {
        let usable = this.usableByPool.get(pool);
        if (!usable) {
            usable = [...this.fleet.workers.values()].filter(worker =>
                worker.entry.pool === pool && worker.canStart(this.nowMs)
            );
            this.usableByPool.set(pool, usable);
        }
        return usable;
    }
}

/** Whether a worker could run a step and the policy was not asked about it. */
function isUnknown(step: StepState, worker: WorkerState): boolean {
    return countCapacityFits(worker, step) > 0
        && step.permits.answeredWorkers.get(worker.id) !== worker.entry.incarnation;
}

function limitWorkers(workers: readonly WorkerState[], step: StepState): readonly WorkerState[] {
    const limit = step.spec.gang ? MAX_WORKERS_PER_QUESTION : countQuestionWorkers(step.waitingCount);
    if (workers.length <= limit) {
        return workers;
    }
    return workers.map(worker => ({ worker, fitCount: countFreeFits(worker, step) }))
        .sort((left, right) => right.fitCount - left.fitCount)
        .slice(0, limit)
        .map(({ worker }) => worker);
}
