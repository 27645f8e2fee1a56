import { addResources, createResourceSum, type ResourceSum } from "../model/ResourceSum.js";
import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";
import type { TaskState } from "../state/TaskState.js";
import { chargedResources, type WorkerState } from "../state/WorkerState.js";
import { CrashIsolation } from "./CrashIsolation.js";
import { GangReservations, WorkerUse } from "./GangReservations.js";
import type { QueuedStep, RankedStep } from "./RankedStep.js";
import { orderSteps } from "./StepOrder.js";
import { explainWait, type WaitReason } from "./WaitReason.js";
import { warmUpPenalty } from "./warmUpPenalty.js";
import { countRunning, hasRequiredLabel } from "./workerFit.js";

/** A task to be started on a worker. */
export interface Placement {
    readonly task: TaskState;
    readonly worker: WorkerState;
    readonly permit: string | undefined;
}

/** Starts of one step; for a gang, those of all its members. */
export interface StepPlacement {
    readonly step: StepState;
    readonly placements: readonly Placement[];
}

/** Result of one planning pass. */
export interface PlacementPlan {
    readonly starts: readonly StepPlacement[];
    /** Steps with waiting tasks in queues that need permits, the most urgent first. */
    readonly stepsNeedingPermits: readonly StepState[];
}

/** Permits with less time left than this may expire before the start order arrives, and are not used. */
export const PERMIT_MARGIN_MS = 60;

interface Candidate {
    readonly worker: WorkerState;
    readonly permit: string | undefined;
    readonly fitCount: number;
    /** Tasks of the step that already run there; counted only when the step limits its tasks per worker. */
    readonly runningCount: number;
    /** Reserved for a less urgent gang. */
    readonly lastResort: boolean;
    /** Reduces the score while the worker is slow after its start. */
    readonly warmUpPenalty: number;
    plannedCount: number;
}

/** Decides which waiting tasks start where. */
export class PlacementPlanner {
    private readonly reservations = new GangReservations();

    constructor(private readonly fleet: FleetState) {}

    /** Plans starts. The caller must record them in the fleet state before the next call. */
    public plan(nowMs: number, mayStart: (step: StepState) => boolean): PlacementPlan {
        const starts: StepPlacement[] = [];
        const stepsNeedingPermits: StepState[] = [];
        const plannedByWorker = new Map<WorkerState, ResourceSum>();
        const startable = orderSteps(this.fleet, nowMs).filter(({ step }) => mayStart(step));
        this.reservations.refresh(
            gang => startable.find(({ step }) => step === gang && this.fitsTeamLimit(step)),
            (ranked, worker) => this.canUse(ranked, worker, nowMs)
        );
        const maxFreeCpuMilli = this.findMaxFreeCpu(nowMs);
        const teamUsage = new PlannedTeamUsage(this.fleet);
        const isolation = new CrashIsolation();
        for (const ranked of startable) {
            const { step } = ranked;
            const { size, filler } = step.spec;
            const mayFit = filler || size.cpuMilli <= maxFreeCpuMilli;
            const candidates = mayFit ? this.findCandidates(ranked, nowMs, plannedByWorker) : [];
            const placements = step.spec.gang
                ? this.placeGang(ranked, candidates, teamUsage, isolation)
                : this.placeTasks(ranked, candidates, teamUsage, isolation);
            if (placements.length > 0) {
                starts.push({ step, placements });
                for (const { worker } of placements) {
                    const amount = plannedByWorker.get(worker) ?? createResourceSum();
                    addResources(amount, chargedResources(step.spec));
                    plannedByWorker.set(worker, amount);
                }
            }
            if (placements.length < step.waitingCount) {
                if (ranked.queue.policy) {
                    stepsNeedingPermits.push(step);
                }
                if (step.spec.gang && this.reservations.mayReserve(step) && this.fitsTeamLimit(step)) {
                    const eligible = [...this.fleet.workers.values()].filter(worker =>
                        this.canUse(ranked, worker, nowMs)
                    );
                    this.reservations.reserve(ranked, eligible);
                }
            }
        }
        return { starts, stepsNeedingPermits };
    }

    /** Explains why the waiting tasks of a step do not start. */
    public explain(ranked: RankedStep, nowMs: number): WaitReason {
        return explainWait(this.fleet, ranked.step, nowMs, worker => this.isReserved(ranked, worker));
    }

    /** Returns whether a worker is reserved for a gang that goes before a step. */
    public isReserved(queued: QueuedStep, worker: WorkerState): boolean {
        return this.reservations.useOf(queued, worker) === WorkerUse.Reserved;
    }

    /** Returns whether the team's limit allows all members of a gang to run. */
    private fitsTeamLimit(step: StepState): boolean {
        return this.fleet.countWithinTeamLimit(step.job.spec.team, step.spec.size) >= step.tasks.length;
    }

    /** Most free CPU on any one worker; steps with larger tasks are skipped without checking each worker. */
    private findMaxFreeCpu(nowMs: number): number {
        let maxCpuMilli = 0;
        for (const worker of this.fleet.workers.values()) {
            if (worker.canStart(nowMs)) {
                maxCpuMilli = Math.max(maxCpuMilli, worker.entry.capacity.cpuMilli - worker.used.cpuMilli);
            }
        }
        return maxCpuMilli;
    }

    /** Workers that the step may use now, with the number of its tasks that still fit on each. */
    private findCandidates(
        ranked: RankedStep,
        nowMs: number,
        plannedByWorker: ReadonlyMap<WorkerState, ResourceSum>
    ): Candidate[] {
        const { step, queue } = ranked;
        const candidates: Candidate[] = [];
        const add = (worker: WorkerState, permit: string | undefined): void => {
            if (!this.isEligible(worker, ranked) || !worker.canStart(nowMs)) {
                return;
            }
            const fitCount = worker.countFits(step.spec.size, step.spec.filler, plannedByWorker.get(worker));
            const use = fitCount > 0 ? this.reservations.useOf(ranked, worker) : WorkerUse.Reserved;
            if (use === WorkerUse.Reserved) {
                return;
            }
            const runningCount = countRunning(worker, step);
            if (step.spec.maximumPerWorker === 0 || runningCount < step.spec.maximumPerWorker) {
                candidates.push({
                    worker,
                    permit,
                    fitCount,
                    runningCount,
                    plannedCount: 0,
                    lastResort: use === WorkerUse.LastResort,
                    warmUpPenalty: warmUpPenalty(this.fleet, worker, ranked, nowMs)
                });
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

    /** Whether a worker may run a step, even if it is full or the permit has expired. */
    private canUse(ranked: RankedStep, worker: WorkerState, nowMs: number): boolean {
        const { step, queue } = ranked;
        return this.fleet.workers.get(worker.id) === worker && this.isEligible(worker, ranked)
            && worker.canStart(nowMs)
            && (!queue.policy || step.permits.byWorker.get(worker.id)?.incarnation === worker.entry.incarnation);
    }

    private isEligible(worker: WorkerState, { step, queue }: RankedStep): boolean {
        return worker.entry.pool === queue.pool && hasRequiredLabel(worker, step);
    }

    private placeTasks(
        ranked: RankedStep,
        candidates: Candidate[],
        teamUsage: PlannedTeamUsage,
        isolation: CrashIsolation
    ): Placement[] {
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
            if (teamUsage.remainingTasks(step) < 1) {
                break;
            }
            let best: Candidate | undefined;
            let bestScore = Number.NEGATIVE_INFINITY;
            for (const candidate of candidates) {
                const fits = candidate.fitCount > candidate.plannedCount
                    && (maximumPerWorker === 0 || candidate.runningCount + candidate.plannedCount < maximumPerWorker);
                const score = fits ? scoreWorker(candidate, task, isolation) : Number.NEGATIVE_INFINITY;
                if (score > bestScore) {
                    best = candidate;
                    bestScore = score;
                }
            }
            if (!best) {
                break;
            }
            best.plannedCount++;
            teamUsage.add(step, 1);
            isolation.add(best.worker, task);
            placements.push({ task, worker: best.worker, permit: best.permit });
        }
        return placements;
    }

    private placeGang(
        ranked: RankedStep,
        candidates: Candidate[],
        teamUsage: PlannedTeamUsage,
        isolation: CrashIsolation
    ): Placement[] {
        const { step } = ranked;
        const { maximumPerWorker, sameRack } = step.spec;
        const needed = step.tasks.length;
        if (candidates.length === 0 || step.waitingCount < needed || teamUsage.remainingTasks(step) < needed) {
            return [];
        }
        const fitCountOf = (candidate: Candidate): number =>
            maximumPerWorker === 0 ? candidate.fitCount : Math.min(candidate.fitCount, maximumPerWorker);
        const preferred = candidates.filter(candidate =>
            !step.tasks.some(task => task.avoidedWorkers.has(candidate.worker.id))
        );
        const { suspect } = step;
        const penaltyOf = (candidate: Candidate): number =>
            isolation.penalty(candidate.worker, suspect) + candidate.warmUpPenalty;
        const groups = sameRack ? groupByRack(preferred) : [];
        for (const group of [...groups, preferred, candidates]) {
            const sorted = [...group].sort((left, right) =>
                penaltyOf(left) - penaltyOf(right) || fitCountOf(right) - fitCountOf(left)
            );
            const placements: Placement[] = [];
            for (const candidate of sorted) {
                for (let count = 0; count < fitCountOf(candidate) && placements.length < needed; count++) {
                    const task = step.tasks[placements.length]!;
                    placements.push({ task, worker: candidate.worker, permit: candidate.permit });
                }
            }
            if (placements.length === needed) {
                teamUsage.add(step, needed);
                placements.forEach(({ worker, task }) => isolation.add(worker, task));
                return placements;
            }
        }
        return [];
    }
}

/** Resources that the current plan uses, by team, on top of what the teams already use. */
class PlannedTeamUsage {
    private readonly plannedByTeam = new Map<string, ResourceSum>();

    constructor(private readonly fleet: FleetState) {}

    public remainingTasks(step: StepState): number {
        const { team } = step.job.spec;
        const { size } = step.spec;
        return this.fleet.countWithinTeamLimit(team, size, this.plannedByTeam.get(team));
    }

    public add(step: StepState, count: number): void {
        const { team } = step.job.spec;
        const planned = this.plannedByTeam.get(team) ?? createResourceSum();
        addResources(planned, step.spec.size, count);
        this.plannedByTeam.set(team, planned);
    }
}

/**
 * Scores a worker for a task. Workers in the rack of the data come first, then the fullest ones (best fit), which
 * leaves the emptier workers to large tasks. Workers on which the task failed, reserved workers and suspect workers
 * come last.
 */
function scoreWorker(candidate: Candidate, task: TaskState, isolation: CrashIsolation): number {
    const { worker } = candidate;
    const { nearRack } = task.step.spec;
    let score = -isolation.penalty(worker, task.suspect) - candidate.warmUpPenalty;
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
    return score - (candidate.fitCount - candidate.plannedCount) / 100;
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
