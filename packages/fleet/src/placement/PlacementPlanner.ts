import { addSize, type Amount, createAmount } from "../model/Amount.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import type { TaskState } from "../state/TaskState.js";
import { countedSize, type WorkerState } from "../state/WorkerState.js";
import { GangReservations, WorkerUse } from "./GangReservations.js";
import { orderSteps, type RankedStep } from "./StepOrder.js";
import { explainWait, type WaitReason } from "./WaitReason.js";

/** A task to be started on a worker. */
export interface Placement {
    readonly task: TaskState;
    readonly worker: WorkerState;
    readonly permit: string | undefined;
}

/** Starts of one step; those of a gang belong together. */
export interface StepPlacement {
    readonly step: StepState;
    readonly placements: readonly Placement[];
}

/** What is to be done now. */
export interface PlacementPlan {
    readonly starts: readonly StepPlacement[];
    /** Steps that wait for permits, the most urgent first. */
    readonly wantPermits: readonly StepState[];
}

/** Permits that end sooner than this may lapse before the order arrives. */
const PERMIT_MARGIN_MS = 60;

interface Candidate {
    readonly worker: WorkerState;
    readonly permit: string | undefined;
    readonly room: number;
    /** Tasks of the step that run there. */
    readonly onWorker: number;
    /** It is reserved for a gang that is less urgent. */
    readonly lastResort: boolean;
    taken: number;
}

/** Decides which waiting tasks start where. */
export class PlacementPlanner {
    private readonly reservations = new GangReservations();

    constructor(private readonly fleet: FleetState) {}

    /** Plans starts; the caller counts each start before the next plan. */
    public plan(nowMs: number, mayStart: (step: StepState) => boolean): PlacementPlan {
        const starts: StepPlacement[] = [];
        const wantPermits: StepState[] = [];
        const taken = new Map<WorkerState, Amount>();
        this.reservations.refresh(nowMs, step => this.isWithinLimit(step));
        const largestFreeMilli = this.findLargestFree(nowMs);
        const teamTaken = new TeamTaken(this.fleet);
        for (const ranked of orderSteps(this.fleet, nowMs)) {
            const { step } = ranked;
            if (!mayStart(step)) {
                continue;
            }
            const { size, filler } = step.spec;
            const hasRoom = filler || size.cpuMilli <= largestFreeMilli;
            const candidates = hasRoom ? this.candidates(ranked, nowMs, taken) : [];
            const placements = step.spec.gang
                ? this.placeGang(ranked, candidates, teamTaken)
                : this.placeEach(ranked, candidates, teamTaken);
            if (placements.length > 0) {
                starts.push({ step, placements });
                for (const { worker } of placements) {
                    const amount = taken.get(worker) ?? createAmount();
                    addSize(amount, countedSize(step.spec));
                    taken.set(worker, amount);
                }
            }
            if (placements.length < step.waitingCount) {
                if (ranked.queue.policy) {
                    wantPermits.push(step);
                }
                if (step.spec.gang && this.isWithinLimit(step)) {
                    this.reservations.reserve(ranked, this.possibleWorkers(ranked, nowMs));
                }
            }
        }
        return { starts, wantPermits };
    }

    /** Explains why the waiting tasks of a step do not start. */
    public explain(ranked: RankedStep, nowMs: number): WaitReason {
        const isReserved = (worker: WorkerState): boolean =>
            this.reservations.useOf(ranked, worker) === WorkerUse.Reserved;
        return explainWait(this.fleet, ranked.step, nowMs, isReserved);
    }

    /** The limit of a gang's team leaves room for all its members. */
    private isWithinLimit(step: StepState): boolean {
        return this.fleet.teamRoom(step.job.spec.team, step.spec.size) >= step.tasks.length;
    }

    /** Most processors that are free on one worker; steps of larger tasks need not be looked at. */
    private findLargestFree(nowMs: number): number {
        let largest = 0;
        for (const worker of this.fleet.workers.values()) {
            if (worker.canStart(nowMs)) {
                largest = Math.max(largest, worker.entry.capacity.cpuMilli - worker.used.cpuMilli);
            }
        }
        return largest;
    }

    /** Workers that the step may use now, with the room that is left on them. */
    private candidates(
        ranked: RankedStep,
        nowMs: number,
        taken: ReadonlyMap<WorkerState, Amount>
    ): Candidate[] {
        const { step, queue } = ranked;
        const candidates: Candidate[] = [];
        const add = (worker: WorkerState, permit: string | undefined): void => {
            if (!this.suits(worker, ranked) || !worker.canStart(nowMs)) {
                return;
            }
            const room = worker.fits(step.spec.size, step.spec.filler, taken.get(worker));
            const use = room > 0 ? this.reservations.useOf(ranked, worker) : WorkerUse.Reserved;
            if (use === WorkerUse.Reserved) {
                return;
            }
            const onWorker = countOfStep(worker, step);
            if (step.spec.maximumPerWorker === 0 || onWorker < step.spec.maximumPerWorker) {
                candidates.push({ worker, permit, room, onWorker, taken: 0, lastResort: use === WorkerUse.LastResort });
            }
        };
        if (!queue.policy) {
            for (const worker of this.fleet.workers.values()) {
                add(worker, undefined);
            }
            return candidates;
        }
        if (step.permits.latestExpiryMs <= nowMs + PERMIT_MARGIN_MS) {
            return candidates;
        }
        for (const [id, permit] of step.permits.byWorker) {
            const worker = this.fleet.workers.get(id);
            if (
                worker && worker.entry.incarnation === permit.incarnation
                && permit.expiresAtMs > nowMs + PERMIT_MARGIN_MS
            ) {
                add(worker, permit.permit);
            }
        }
        return candidates;
    }

    /** Workers that may run the step, whether or not they have room or a permit that still holds. */
    private possibleWorkers(ranked: RankedStep, nowMs: number): readonly WorkerState[] {
        const { step, queue } = ranked;
        return [...this.fleet.workers.values()].filter(worker =>
            this.suits(worker, ranked) && worker.canStart(nowMs)
            && (!queue.policy || step.permits.byWorker.get(worker.id)?.incarnation === worker.entry.incarnation)
        );
    }

    private suits(worker: WorkerState, { step, queue }: RankedStep): boolean {
        const { workerLabel } = step.spec;
        return worker.entry.pool === queue.pool
            && (workerLabel === undefined || worker.entry.labels.includes(workerLabel));
    }

    private placeEach(ranked: RankedStep, candidates: Candidate[], teamTaken: TeamTaken): Placement[] {
        const placements: Placement[] = [];
        const { step } = ranked;
        const { maximumPerWorker } = step.spec;
        if (candidates.length === 0) {
            return placements;
        }
        for (const task of step.tasks) {
            if (!task.waiting) {
                continue;
            }
            if (teamTaken.room(step) < 1) {
                break;
            }
            let best: Candidate | undefined;
            let bestScore = Number.NEGATIVE_INFINITY;
            for (const candidate of candidates) {
                const hasRoom = candidate.room > candidate.taken
                    && (maximumPerWorker === 0 || candidate.onWorker + candidate.taken < maximumPerWorker);
                const score = hasRoom ? scoreWorker(candidate, task) : Number.NEGATIVE_INFINITY;
                if (score > bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
            if (!best) {
                break;
            }
            best.taken++;
            teamTaken.take(step, 1);
            placements.push({ task, worker: best.worker, permit: best.permit });
        }
        return placements;
    }

    private placeGang(ranked: RankedStep, candidates: Candidate[], teamTaken: TeamTaken): Placement[] {
        const { step } = ranked;
        const { maximumPerWorker, sameRack } = step.spec;
        const needed = step.tasks.length;
        if (candidates.length === 0 || step.waitingCount < needed || teamTaken.room(step) < needed) {
            return [];
        }
        const roomOf = (candidate: Candidate): number =>
            maximumPerWorker === 0 ? candidate.room : Math.min(candidate.room, maximumPerWorker);
        const sound = candidates.filter(candidate =>
            !step.tasks.some(task => task.avoidedWorkers.has(candidate.worker.id))
        );
        const groups = sameRack ? groupByRack(sound) : [];
        for (const group of [...groups, sound, candidates]) {
            const sorted = [...group].sort((left, right) => roomOf(right) - roomOf(left));
            const placements: Placement[] = [];
            for (const candidate of sorted) {
                for (let count = 0; count < roomOf(candidate) && placements.length < needed; count++) {
                    const task = step.tasks[placements.length]!;
                    placements.push({ task, worker: candidate.worker, permit: candidate.permit });
                }
            }
            if (placements.length === needed) {
                teamTaken.take(step, needed);
                return placements;
            }
        }
        return [];
    }
}

/** Counts what this plan takes of the teams' limits. */
class TeamTaken {
    private readonly takenByTeam = new Map<string, Amount>();

    constructor(private readonly fleet: FleetState) {}

    public room(step: StepState): number {
        const { team } = step.job.spec;
        const { size } = step.spec;
        return this.fleet.teamRoom(team, size, this.takenByTeam.get(team));
    }

    public take(step: StepState, count: number): void {
        const { team } = step.job.spec;
        const taken = this.takenByTeam.get(team) ?? createAmount();
        addSize(taken, step.spec.size, count);
        this.takenByTeam.set(team, taken);
    }
}

function countOfStep(worker: WorkerState, step: StepState): number {
    if (step.spec.maximumPerWorker === 0) {
        return 0;
    }
    let count = 0;
    for (const run of worker.runs.values()) {
        count += run.task.step === step ? 1 : 0;
    }
    return count;
}

/** Prefers workers near the data, then the one that is filled best, so that large tasks find room elsewhere. */
function scoreWorker(candidate: Candidate, task: TaskState): number {
    const { worker } = candidate;
    const { nearRack } = task.step.spec;
    let score = 0;
    if (task.avoidedWorkers.has(worker.id)) {
        score -= 1000;
    }
    if (candidate.lastResort) {
        score -= 500;
    }
    if (nearRack !== undefined && worker.entry.rack === nearRack) {
        score += 100;
    }
    if (task.failures.length > 0 && worker.lastDoneAtMs === undefined) {
        score -= 50;
    }
    if (worker.suspectJobs.size > 0) {
        score -= 20;
    }
    return score - (candidate.room - candidate.taken) / 100;
}

function groupByRack(candidates: readonly Candidate[]): Candidate[][] {
    const racks = new Map<string, Candidate[]>();
    for (const candidate of candidates) {
        const group = racks.get(candidate.worker.entry.rack) ?? [];
        group.push(candidate);
        racks.set(candidate.worker.entry.rack, group);
    }
    return [...racks.values()];
}
