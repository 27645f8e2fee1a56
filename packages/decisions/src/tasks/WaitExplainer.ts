import { WaitCause, type WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { GroupState } from "../groups/GroupState.js";
import { describeSize, type FeasibilityChecker } from "./FeasibilityChecker.js";
import type { SliceState } from "./SliceState.js";

/** Explains to operators and callers why a group waits. */
export class WaitExplainer {
    constructor(private readonly state: SliceState, private readonly feasibility: FeasibilityChecker) {}

    /** Returns the first cause that applies, or undefined if no task of the group waits. */
    public explain(group: GroupState, nowMs: number): WaitExplanation | undefined {
        if (group.waitingCount === 0) {
            return this.explainDelay(group);
        }
        return this.explainSize(group)
            ?? this.explainLimit(group)
            ?? this.explainWorkers()
            ?? this.explainReservation(group, nowMs)
            ?? this.explainShare(group);
    }

    private explainDelay(group: GroupState): WaitExplanation | undefined {
        if (group.delayedCount === 0) {
            return undefined;
        }
        const detail = `${group.delayedCount} tasks failed and wait for their next attempt; `
            + `failed on workers ${[...group.failedWorkerIds].join(", ")}`;
        return { cause: WaitCause.Share, detail };
    }

    private explainSize(group: GroupState): WaitExplanation | undefined {
        if (!this.feasibility.isInfeasible(group)) {
            return undefined;
        }
        return { cause: WaitCause.Size, detail: this.feasibility.describe(group) };
    }

    private explainLimit(group: GroupState): WaitExplanation | undefined {
        const { team, shape } = group;
        const count = group.isGang ? group.waitingCount : 1;
        if (team.fitsAllotment(shape.resources, count)) {
            return undefined;
        }
        const tasks = group.isGang ? `all ${count} tasks of` : "a task of";
        const detail =
            `${tasks} ${describeSize(shape.resources)} would exceed the allotment of team ${team.name} here: `
            + `${describeSize(team.allotment)}; running: ${describeSize(team.usage)}`;
        return { cause: WaitCause.Limit, detail };
    }

    private explainWorkers(): WaitExplanation | undefined {
        if (this.state.fleet.acceptingWorkerCount > 0) {
            return undefined;
        }
        return { cause: WaitCause.NoWorker, detail: "no worker here takes new tasks" };
    }

    private explainReservation(group: GroupState, nowMs: number): WaitExplanation | undefined {
        const { reservation } = group;
        if (reservation !== undefined) {
            const inMs = Math.max(0, Math.round(reservation.startAtMs - nowMs));
            const detail = `${reservation.taskCounts.size} workers are reserved for the gang; `
                + `all ${group.waitingCount} tasks are expected to start in ${inMs} ms`;
            return { cause: WaitCause.Reservation, detail };
        }
        if (this.state.fleet.reservedWorkerCount === 0 || group.isGang) {
            return undefined;
        }
        const unreserved = this.state.fleet.findUnreserved(group.shape.resources, acceptAny);
        const reserved = this.state.fleet.findReserved(group.shape.resources, acceptAny);
        if (unreserved !== undefined || reserved === undefined) {
            return undefined;
        }
        const detail = `room is free only on workers reserved for group ${
            reserved.reservation!.group.definition.groupId
        }`;
        return { cause: WaitCause.Reservation, detail };
    }

    private explainShare(group: GroupState): WaitExplanation {
        const { team } = group;
        const inUse = (team.weightedShare * team.weight * PERCENT).toFixed(1);
        const fair = (Math.min(1, this.state.teams.fairLevel() * team.weight) * PERCENT).toFixed(1);
        const detail = `no worker has room for ${describeSize(group.shape.resources)} now; `
            + `team ${team.name} runs ${inUse}% of the fleet, its share among active teams is ${fair}%`;
        return { cause: WaitCause.Share, detail };
    }
}

const PERCENT = 100;

function acceptAny(): boolean {
    return true;
}
