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

interface WaitingGang {
    readonly group: GroupState;
    readonly sinceMs: number;
    nextAttemptAtMs: number;
    intervalMs: number;
    nextPlanAtMs: number;
    attemptedVersion: number;
    attemptedFleetVersion: number;
}

const MAX_FAILURES_PER_DECISION = 3;
const INTERVAL_GROWTH = 2;
const NEVER_ATTEMPTED = -1;

/** Starts gangs as a whole; those that find no room reserve workers, the latest start first. */
export class GangPlanner {
    private readonly waiting = new Map<GroupState, WaitingGang>();
    private readonly holders = new Map<TeamAccount, GroupState>();
    private readonly reserved = new Set<GroupState>();
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

    /** Reservations in force. */
    public get reservedGroups(): ReadonlySet<GroupState> {
        return this.reserved;
    }

    /** Takes a gang that has waiting tasks, and drops one that has none. */
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

    /** Starts, reserves and repairs gangs, the latest start first. */
    public run(nowMs: number): void {
        this.nowMs = nowMs;
        this.sort();
        this.markGained();
        let failures = 0;
        for (const gang of this.ordered) {
            if (failures >= MAX_FAILURES_PER_DECISION) {
                break;
            }
            if (this.isDue(gang)) {
                failures += this.advance(gang) ? 0 : 1;
            }
        }
    }

    /** Has the gangs tried of which a reserved worker gained room. */
    private markGained(): void {
        for (const { reservation } of this.state.peekReservedGains()) {
            const gang = reservation === undefined ? undefined : this.waiting.get(reservation.group);
            if (gang !== undefined) {
                gang.nextAttemptAtMs = this.nowMs;
            }
        }
    }

    private sort(): void {
        if (this.orderStale) {
            this.orderStale = false;
            this.ordered = [...this.waiting.values()];
            this.ordered.sort((left, right) => left.group.latestStartAtMs - right.group.latestStartAtMs);
        }
    }

    /** Drops the reservation of a gang, so that its workers are open again. */
    public dropReservation(group: GroupState): void {
        if (group.reservation !== undefined) {
            this.openWorkers(group.reservation);
            group.reservation = undefined;
            this.reserved.delete(group);
        }
    }

    private isDue(gang: WaitingGang): boolean {
        const timeCame = this.nowMs >= gang.nextAttemptAtMs
            || gang.attemptedFleetVersion !== this.state.fleet.version;
        return timeCame && gang.group.delayedCount === 0 && this.waiting.get(gang.group) === gang;
    }

    /** Advances one gang; returns false when places were searched in vain. */
    private advance(gang: WaitingGang): boolean {
        const { group } = gang;
        if (group.running.size > 0) {
            return this.repair(gang);
        }
        if (!group.team.hasRoom(group.shape.resources, group.waitingCount)) {
            this.holdAllotment(group);
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

    /** Tries again after an interval that grows, or at once when workers changed. */
    private scheduleAttempt(gang: WaitingGang): void {
        gang.nextAttemptAtMs = this.nowMs + gang.intervalMs;
        gang.intervalMs = Math.min(gang.intervalMs * INTERVAL_GROWTH, this.options.maxGangAttemptIntervalMs);
        gang.attemptedFleetVersion = this.state.fleet.version;
    }

    private isPlanDue(gang: WaitingGang): boolean {
        if (this.nowMs < gang.nextPlanAtMs) {
            return false;
        }
        const { reservation } = gang.group;
        if (reservation !== undefined) {
            return this.nowMs >= reservation.startAtMs + this.options.reservationOverdueMs;
        }
        return this.nowMs >= gang.sinceMs + this.options.reservationPatienceMs && this.mayReserve(gang.group);
    }

    /** A gang may reserve within its team's share; beyond it only after a part of its slack, or near its latest start. */
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
        let plan = this.planWithin(gang.group);
        while (plan === undefined && this.dropLaterReservation(gang.group)) {
            plan = this.planWithin(gang.group);
        }
        gang.nextPlanAtMs = this.nowMs + this.options.reservationOverdueMs;
        if (plan === undefined) {
            return;
        }
        this.dropReservation(gang.group);
        gang.group.reservation = plan;
        this.reserved.add(gang.group);
        for (const worker of plan.places.keys()) {
            this.state.reserve(worker, plan);
        }
    }

    private planWithin(group: GroupState): Reservation | undefined {
        const { fleet } = this.state;
        const own = group.reservation?.places.size ?? 0;
        const othersReserved = fleet.reservedWorkerCount - own;
        if (othersReserved <= 0) {
            return this.planner.plan(group, Number.POSITIVE_INFINITY, this.nowMs);
        }
        const allowed = Math.floor(fleet.openWorkerCount * this.options.maxReservedFraction) - othersReserved;
        return this.planner.plan(group, allowed, this.nowMs);
    }

    /** Drops the reservation with the latest start after the given gang's; returns false when there is none. */
    private dropLaterReservation(group: GroupState): boolean {
        let latest: GroupState | undefined;
        for (const other of this.reserved) {
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
        this.dropReservation(latest);
        return true;
    }

    /** Replaces lost members of a running gang, or stops the rest when there is no room in time. */
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
        if (this.nowMs >= gang.sinceMs + this.options.gangRepairMs) {
            this.stopAll(group);
        }
        return false;
    }

    private stopAll(group: GroupState): void {
        for (const task of group.running.values()) {
            task.stage = PreemptionStage.Stopping;
            this.state.decide({
                kind: DecisionKind.Stop,
                taskId: task.taskId,
                groupId: group.definition.groupId,
                workerId: task.worker.workerId
            });
        }
    }

    /** Keeps room under the team's allotment for the gang, when the whole of it could hold the gang. */
    private holdAllotment(group: GroupState): void {
        const holder = this.holders.get(group.team);
        if (holder !== undefined && holder.latestStartAtMs <= group.latestStartAtMs) {
            return;
        }
        const demand = scaleResources(group.shape.resources, group.waitingCount);
        if (group.team.couldHold(demand)) {
            this.holders.set(group.team, group);
            group.team.setHeld(demand);
        }
    }

    private remove(group: GroupState): void {
        this.orderStale = this.waiting.delete(group) || this.orderStale;
        this.dropReservation(group);
        if (this.holders.get(group.team) === group) {
            this.holders.delete(group.team);
            group.team.setHeld(NO_RESOURCES);
        }
    }

    private openWorkers(reservation: Reservation): void {
        for (const worker of reservation.places.keys()) {
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
