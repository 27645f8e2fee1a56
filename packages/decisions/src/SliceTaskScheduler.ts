import type { Resources } from "@skylarkpath/common/model/Resources";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import {
    type Decision,
    TaskEnd,
    type TaskGroup,
    type TaskScheduler,
    type TeamPolicy,
    type WaitExplanation,
    type WorkerView
} from "@skylarkpath/common/scheduling/TaskScheduler";
import { GroupState } from "./groups/GroupState.js";
import type { RunningTask } from "./groups/RunningTask.js";
import { WorkerHealth } from "./health/WorkerHealth.js";
import { RunTimeEstimator, typicalRunTimeMs } from "./learning/RunTimeEstimator.js";
import { Backfiller } from "./tasks/Backfiller.js";
import { FailurePolicy } from "./tasks/FailurePolicy.js";
import { FeasibilityChecker } from "./tasks/FeasibilityChecker.js";
import { GangPlanner } from "./tasks/GangPlanner.js";
import { Placer } from "./tasks/Placer.js";
import { Preemptor } from "./tasks/Preemptor.js";
import { ReservationPlanner } from "./tasks/ReservationPlanner.js";
import { RetryDelays } from "./tasks/RetryDelays.js";
import { SliceState } from "./tasks/SliceState.js";
import { StarvationGuard } from "./tasks/StarvationGuard.js";
import { DEFAULT_TASK_OPTIONS, type TaskOptions } from "./tasks/TaskOptions.js";
import { VictimFinder } from "./tasks/VictimFinder.js";
import { WaitExplainer } from "./tasks/WaitExplainer.js";
import type { PriorityClassQueue } from "./teams/PriorityClassQueue.js";

const DEFAULT_DEADLINE_MS = 24 * 3_600_000;

/** Decides which tasks of a slice start on which worker, which are preempted, and which groups are rejected. */
export class SliceTaskScheduler implements TaskScheduler {
    private readonly state = new SliceState();
    private readonly estimator = new RunTimeEstimator();
    private readonly health = new WorkerHealth(() => this.state.fleet.schedulableWorkerCount);
    private readonly placer: Placer;
    private readonly gangs: GangPlanner;
    private readonly starvationGuard: StarvationGuard;
    private readonly backfiller: Backfiller;
    private readonly preemptor: Preemptor;
    private readonly feasibility: FeasibilityChecker;
    private readonly failurePolicy: FailurePolicy;
    private readonly retryDelays: RetryDelays;
    private readonly explainer: WaitExplainer;
    private readonly options: TaskOptions;
    private sharesStale = false;

    constructor(random: RandomSource, overrides: Partial<TaskOptions> = {}) {
        const options = { ...DEFAULT_TASK_OPTIONS, ...overrides };
        this.options = options;
        const { state } = this;
        const planner = new ReservationPlanner(state.fleet, random);
        const finder = new VictimFinder(state.fleet, random, options.preemptionCandidates);
        this.gangs = new GangPlanner(state, planner, options);
        this.preemptor = new Preemptor(state, finder, options);
        this.placer = new Placer(state, options.maxStartsPerDecision, queue => this.preemptor.addBlocked(queue));
        this.backfiller = new Backfiller(state, state.teams.ordinaryQueue, options.backfillMargin);
        this.starvationGuard = new StarvationGuard(state, planner, state.teams.ordinaryQueue, options);
        this.feasibility = new FeasibilityChecker(state, options);
        this.failurePolicy = new FailurePolicy(this.health, () => state.fleet.workerCount, options);
        this.retryDelays = new RetryDelays(options.retryDelayMs, options.maxRetryDelayMs);
        this.explainer = new WaitExplainer(state, this.feasibility);
        this.health.onChanged(({ workerId }) => this.updateCondition(workerId));
    }

    public setTeams(teams: ReadonlyMap<string, TeamPolicy>): void {
        this.state.teams.setPolicies(teams, this.state.fleet.capacity);
    }

    public upsertWorker(view: WorkerView): void {
        if (this.state.fleet.upsert(view)) {
            this.sharesStale = true;
            this.updateCondition(view.workerId);
        }
    }

    public removeWorker(workerId: string): void {
        this.state.fleet.remove(workerId);
        this.health.forget(workerId);
        this.sharesStale = true;
    }

    public submit(group: TaskGroup): void {
        const known = this.state.groups.get(group.groupId);
        const state = known ?? this.createGroup(group);
        state.withdrawn = false;
        state.addTasks(group.taskIds, taskId => this.state.running.has(taskId));
        this.feasibility.add(state);
        this.enqueue(state);
    }

    public adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void {
        const group = this.state.groups.get(groupId);
        if (group === undefined || isRunningOn(this.state.running.get(taskId), workerId)) {
            return;
        }
        group.removeWaiting(taskId);
        this.state.count(taskId, group, this.state.fleet.obtain(workerId), startedAtMs);
        this.enqueue(group);
    }

    public withdraw(groupId: string): readonly string[] {
        const group = this.state.groups.get(groupId);
        if (group === undefined) {
            return [];
        }
        group.withdrawn = true;
        group.clearWaiting();
        this.enqueue(group);
        const running = [...group.running.keys()];
        this.state.deleteIfDone(group);
        return running;
    }

    public taskEnded(taskId: string, end: TaskEnd, nowMs: number): void {
        const task = this.state.running.get(taskId);
        if (task === undefined) {
            return;
        }
        const { group } = task;
        this.recordOutcome(task, end, nowMs);
        if (group.withdrawn || end === TaskEnd.Succeeded || end === TaskEnd.Cancelled) {
            group.markFinished(taskId);
        }
        else if (end === TaskEnd.Requeued) {
            group.requeue(taskId, true);
        }
        this.state.release(task);
        this.enqueue(group);
    }

    public decide(nowMs: number): readonly Decision[] {
        const { teams } = this.state;
        this.prepareDecision(nowMs);
        this.placeBeforeGangs(teams.urgentQueue, nowMs);
        this.placer.reportUrgent(teams.urgentQueue);
        this.preemptor.run(nowMs);
        this.placeBeforeGangs(teams.serviceQueue, nowMs);
        this.gangs.run(nowMs);
        this.starvationGuard.run(nowMs);
        this.placer.placeAll(teams.ordinaryQueue, nowMs);
        const gains = this.state.takeFreedReservedWorkers();
        if (this.options.backfill) {
            this.backfiller.run(gains, nowMs);
        }
        return this.state.takeDecisions();
    }

    public hasMore(): boolean {
        return this.placer.isExhausted;
    }

    public explain(groupId: string, nowMs: number): WaitExplanation | undefined {
        const group = this.state.groups.get(groupId);
        return group === undefined ? undefined : this.explainer.explain(group, nowMs);
    }

    public usage(team: string): Resources {
        return this.state.teams.find(team)?.usage ?? NO_RESOURCES;
    }

    /** Places work that has priority over gangs, on reserved workers too. */
    private placeBeforeGangs(classQueue: PriorityClassQueue, nowMs: number): void {
        this.placer.placeAll(classQueue, nowMs);
        if (this.state.fleet.reservedWorkerCount > 0) {
            this.placer.placeOnReserved(classQueue);
        }
    }

    private prepareDecision(nowMs: number): void {
        if (this.sharesStale) {
            this.sharesStale = false;
            this.state.teams.updateShares(this.state.fleet.capacity);
        }
        this.state.teams.invalidateFairLevel();
        this.state.fleet.updateOrderingResource();
        this.health.advance(nowMs);
        this.retryDelays.advance(nowMs, group => this.enqueue(group));
        this.feasibility.run(nowMs, group => this.enqueue(group));
        this.placer.begin();
    }

    private recordOutcome(task: RunningTask, end: TaskEnd, nowMs: number): void {
        if (end === TaskEnd.Succeeded) {
            task.group.hasSucceeded = true;
            task.group.runTimes.add(nowMs - task.startedAtMs);
            this.health.taskSucceeded(task.worker.workerId);
        }
        else if (end === TaskEnd.Failed) {
            this.recordFailure(task, nowMs);
        }
    }

    /** Delays the next attempt of a failed task, or rejects its group if the failures show that it cannot run. */
    private recordFailure(task: RunningTask, nowMs: number): void {
        const { group, taskId, worker } = task;
        const failures = group.addFailure(taskId, worker.workerId, nowMs);
        this.health.taskFailed(worker.workerId, taskId, group, nowMs);
        if (group.withdrawn) {
            return;
        }
        const reason = this.failurePolicy.findRejectionReason(group, taskId, failures);
        if (reason === undefined) {
            this.retryDelays.delay(taskId, group, failures.attempts, nowMs);
        }
        else {
            this.health.sourceRejected(group);
            this.state.reject(group, reason);
        }
    }

    private createGroup(group: TaskGroup): GroupState {
        const state = new GroupState(
            group,
            this.state.teams.obtain(group.team),
            this.state.shapes.obtain(group.resources),
            this.estimator.obtain(group.profile)
        );
        const deadlineAtMs = group.deadlineAtMs ?? group.submittedAtMs + DEFAULT_DEADLINE_MS;
        state.latestStartAtMs = deadlineAtMs - typicalRunTimeMs(state);
        this.state.groups.set(group.groupId, state);
        return state;
    }

    private updateCondition(workerId: string): void {
        const worker = this.state.fleet.find(workerId);
        if (worker === undefined) {
            return;
        }
        worker.condition = this.health.conditionOf(workerId);
        this.state.fleet.refresh(worker);
        this.state.capacityGained(worker);
    }

    private enqueue(group: GroupState): void {
        if (group.isGang) {
            this.gangs.refresh(group);
            return;
        }
        const classQueue = this.state.teams.queueOf(group);
        if (group.waitingCount > 0) {
            classQueue.add(group);
        }
        else {
            classQueue.remove(group);
        }
    }
}

function isRunningOn(task: RunningTask | undefined, workerId: string): boolean {
    for (let copy = task; copy !== undefined; copy = copy.duplicate) {
        if (copy.worker.workerId === workerId) {
            return true;
        }
    }
    return false;
}
