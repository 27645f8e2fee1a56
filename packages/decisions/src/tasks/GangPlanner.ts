import { NO_RESOURCES, scaleResources } from "@skylarkpath/common/model/Resources";
import { DecisionKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { GroupState } from "../groups/GroupState.js";
import { PreemptionStage } from "../groups/RunningTask.js";
import { conservativeRunTimeMs } from "../learning/RunTimeEstimator.js";
import type { TeamAccount } from "../teams/TeamAccount.js";
import { GangStarter } from "./GangStarter.js";
import type { Reservation } from "./Reservation.js";
import type { ReservationPlanner } from "./ReservationPlanner.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";

/** Waiting gang, with the versions of state and fleet at its last attempt. */
interface WaitingGang {
    readonly group: GroupState;
    readonly sinceMs: number;
    nextAttemptAtMs: number;
    intervalMs: number;
    nextPlanAtMs: number;
    attemptedVersion: number;
    attemptedFleetVersion: number;
}

const MAX_FAILED_ATTEMPTS_PER_DECISION = 3;
const INTERVAL_GROWTH_FACTOR = 2;
const NEVER_ATTEMPTED = -1;

/**
 * Starts all tasks of a gang together. Gangs that do not fit reserve workers. Gangs are served in the order of the
 * latest start that meets their deadline, earliest first.
 */
export class GangPlanner {
    private readonly waiting = new Map<GroupState, WaitingGang>();
    private readonly allotmentReservations = new Map<TeamAccount, GroupState>();
    private readonly groupsWithReservation = new Set<GroupState>();
    private readonly starter: GangStarter;
    private ordered: WaitingGang[] = [];
    private orderStale = false;
    private nowMs = 0;

    constructor(
        private readonly state: SliceState,
        private readonly planner: ReservationPlanner,
        private readonly options: TaskOptions
    ) {
        this.starter = new GangStarter(state);
    }

    /** Gangs that have a reservation. */
    public get reservedGroups(): ReadonlySet<GroupState> {
        return this.groupsWithReservation;
    }

    /** Adds a gang that has waiting tasks, and removes one that has none. */
    public refresh(group: GroupState): void {
        if (group.waitingCount === 0) {
            this.remove(group);
        }
        else if (!this.waiting.has(group)) {
            const gang = {
                group,
                sinceMs: this.nowMs,
                nextAttemptAtMs: Number.NEGATIVE_INFINITY,
                intervalMs: this.options.gangAttemptIntervalMs,
                nextPlanAtMs: Number.NEGATIVE_INFINITY,
                attemptedVersion: NEVER_ATTEMPTED,
                attemptedFleetVersion: NEVER_ATTEMPTED
            };
            this.waiting.set(group, gang);
            this.ordered.push(gang);
            this.orderStale = true;
        }
    }

    /** Starts, reserves for and repairs the gangs that are due; bounds the failed attempts of one decision. */
    public run(nowMs: number): void {
        this.nowMs = nowMs;
        this.sortGangs();
        this.scheduleReservedGangs();
        let failedAttempts = 0;
        for (const gang of this.ordered) {
            if (failedAttempts >= MAX_FAILED_ATTEMPTS_PER_DECISION) {
                break;
            }
            if (this.isDue(gang)) {
                failedAttempts += this.advance(gang) ? 0 : 1;
            }
        }
    }

    /** Makes gangs due at once if capacity was freed on one of their reserved workers. */
    private scheduleReservedGangs(): void {
        for (const { reservation } of this.state.peekFreedReservedWorkers()) {
            const gang = reservation === undefined ? undefined : this.waiting.get(reservation.group);
            if (gang !== undefined) {
                gang.nextAttemptAtMs = this.nowMs;
            }
        }
    }

    private sortGangs(): void {
        if (this.orderStale) {
            this.orderStale = false;
            this.ordered = [...this.waiting.values()];
            this.ordered.sort((left, right) => left.group.latestStartAtMs - right.group.latestStartAtMs);
        }
    }

    /** Cancels the reservation of a gang and releases its workers. */
    public cancelReservation(group: GroupState): void {
        if (group.reservation !== undefined) {
            this.unreserveWorkers(group.reservation);
            group.reservation = undefined;
            this.groupsWithReservation.delete(group);
        }
    }

    private isDue(gang: WaitingGang): boolean {
        const attemptDue = this.nowMs >= gang.nextAttemptAtMs
            || gang.attemptedFleetVersion !== this.state.fleet.version;
        return attemptDue && gang.group.delayedCount === 0 && this.waiting.get(gang.group) === gang;
    }

    /** Tries to start, reserve for or repair one gang; returns false if it searched workers without success. */
    private advance(gang: WaitingGang): boolean {
        const { group } = gang;
        if (group.running.size > 0) {
            return this.repair(gang);
        }
        if (!group.team.fitsAllotment(group.shape.resources, group.waitingCount)) {
            this.reserveAllotment(group);
            return true;
        }
        this.scheduleAttempt(gang);
        if (gang.attemptedVersion === this.state.version && !this.isPlanDue(gang)) {
            return true;
        }
        gang.attemptedVersion = this.state.version;
        if (this.starter.tryStart(group, this.nowMs)) {
            this.remove(group);
            return true;
        }
        if (this.isPlanDue(gang)) {
            this.reserve(gang);
        }
        return false;
    }

    /** Schedules the next attempt after a growing interval; a change of the workers makes the gang due at once. */
    private scheduleAttempt(gang: WaitingGang): void {
        gang.nextAttemptAtMs = this.nowMs + gang.intervalMs;
        gang.intervalMs = Math.min(gang.intervalMs * INTERVAL_GROWTH_FACTOR, this.options.maxGangAttemptIntervalMs);
        gang.attemptedFleetVersion = this.state.fleet.version;
    }

    private isPlanDue(gang: WaitingGang): boolean {
        if (this.nowMs < gang.nextPlanAtMs) {
            return false;
        }
        const { reservation } = gang.group;
        if (reservation !== undefined) {
            return this.nowMs >= reservation.startAtMs + this.options.replanDelayMs;
        }
        return this.nowMs >= gang.sinceMs + this.options.gangReservationDelayMs && this.mayReserve(gang.group);
    }

    /**
     * A gang may reserve workers within its team's share. Above the share it may do so only after a fraction of its
     * slack has passed, or shortly before its latest start.
     */
    private mayReserve(group: GroupState): boolean {
        const { submittedAtMs } = group.definition;
        const slackMs = group.latestStartAtMs - submittedAtMs;
        if (this.nowMs >= submittedAtMs + slackMs * this.options.gangSlackFraction) {
            return true;
        }
        const windowMs = Math.max(
            this.options.minGangWindowMs,
            this.options.gangWindowFactor * conservativeRunTimeMs(group)
        );
        if (this.nowMs >= group.latestStartAtMs - windowMs) {
            return true;
        }
        const { fleet, teams } = this.state;
        const ownShare = group.team.weightedShareOf(group.shape.resources, group.waitingCount, fleet.capacity);
        return Math.max(ownShare, group.team.weightedShare) <= teams.fairLevel();
    }

    private reserve(gang: WaitingGang): void {
        let plan = this.planWithinLimit(gang.group);
        while (plan === undefined && this.cancelLaterReservation(gang.group)) {
            plan = this.planWithinLimit(gang.group);
        }
        gang.nextPlanAtMs = this.nowMs + this.options.replanDelayMs;
        if (plan === undefined) {
            return;
        }
        this.cancelReservation(gang.group);
        gang.group.reservation = plan;
        this.groupsWithReservation.add(gang.group);
        for (const worker of plan.taskCounts.keys()) {
            this.state.reserve(worker, plan);
        }
    }

    private planWithinLimit(group: GroupState): Reservation | undefined {
        const { fleet } = this.state;
        const ownWorkers = group.reservation?.taskCounts.size ?? 0;
        const reservedByOthers = fleet.reservedWorkerCount - ownWorkers;
        if (reservedByOthers <= 0) {
            return this.planner.plan(group, Number.POSITIVE_INFINITY, this.nowMs);
        }
        const maxWorkers = Math.floor(fleet.acceptingWorkerCount * this.options.maxGangReservedFraction)
            - reservedByOthers;
        return this.planner.plan(group, maxWorkers, this.nowMs);
    }

    /** Cancels the reservation of the last gang in order, if it comes after the given one; returns whether it did. */
    private cancelLaterReservation(group: GroupState): boolean {
        let latest: GroupState | undefined;
        for (const other of this.groupsWithReservation) {
            if (
                other.latestStartAtMs
                    > Math.max(group.latestStartAtMs, latest?.latestStartAtMs ?? Number.NEGATIVE_INFINITY)
            ) {
                latest = other;
            }
        }
        if (latest === undefined) {
            return false;
        }
        this.cancelReservation(latest);
        return true;
    }

    /** Replaces lost members of a running gang, or stops the others if they cannot be replaced in time. */
    private repair(gang: WaitingGang): boolean {
        const { group } = gang;
        if (isStopping(group)) {
            return true;
        }
        if (this.starter.tryStart(group, this.nowMs)) {
            this.remove(group);
            return true;
        }
        this.scheduleAttempt(gang);
        if (this.nowMs >= gang.sinceMs + this.options.gangRepairTimeoutMs) {
            this.stopAll(group);
        }
        return false;
    }

    private stopAll(group: GroupState): void {
        for (const task of group.running.values()) {
            task.stage = PreemptionStage.Stopping;
            this.state.addDecision({
                kind: DecisionKind.Stop,
                taskId: task.taskId,
                groupId: group.definition.groupId,
                workerId: task.worker.workerId
            });
        }
    }

    /**
     * Reserves part of the team's allotment for the gang. Does nothing if the gang exceeds the whole allotment, or if
     * the allotment is reserved for a gang that has to start earlier.
     */
    private reserveAllotment(group: GroupState): void {
        const reservingGroup = this.allotmentReservations.get(group.team);
        if (reservingGroup !== undefined && reservingGroup.latestStartAtMs <= group.latestStartAtMs) {
            return;
        }
        const demand = scaleResources(group.shape.resources, group.waitingCount);
        if (group.team.fitsWholeAllotment(demand)) {
            this.allotmentReservations.set(group.team, group);
            group.team.setReserved(demand);
        }
    }

    private remove(group: GroupState): void {
        this.orderStale = this.waiting.delete(group) || this.orderStale;
        this.cancelReservation(group);
        if (this.allotmentReservations.get(group.team) === group) {
            this.allotmentReservations.delete(group.team);
            group.team.setReserved(NO_RESOURCES);
        }
    }

    private unreserveWorkers(reservation: Reservation): void {
        for (const worker of reservation.taskCounts.keys()) {
            if (worker.reservation === reservation) {
                this.state.unreserve(worker);
            }
        }
    }
}

function isStopping(group: GroupState): boolean {
    for (const task of group.running.values()) {
        if (task.stage === PreemptionStage.Stopping) {
            return true;
        }
    }
    return false;
}
