import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { unparkAll } from "../groups/ShapeQueue.js";
import { PriorityClassQueue } from "./PriorityClassQueue.js";
import { TeamAccount } from "./TeamAccount.js";

/** Accounts of all teams, and the queues of their waiting groups by priority class. */
export class TeamRegistry {
    public readonly urgentQueue = new PriorityClassQueue();
    public readonly serviceQueue = new PriorityClassQueue();
    public readonly ordinaryQueue = new PriorityClassQueue();
    private cachedFairLevel: number | undefined;
    private readonly accounts = new Map<string, TeamAccount>();

    /** Returns the account of a team, creating it without a policy if it is unknown. */
    public obtain(name: string): TeamAccount {
        let account = this.accounts.get(name);
        if (account === undefined) {
            account = new TeamAccount(name);
            this.accounts.set(name, account);
        }
        return account;
    }

    public find(name: string): TeamAccount | undefined {
        return this.accounts.get(name);
    }

    /** Replaces the policies of all teams; teams without one may start nothing more. */
    public setPolicies(policies: ReadonlyMap<string, TeamPolicy>, fleetCapacity: Resources): void {
        for (const name of policies.keys()) {
            this.obtain(name);
        }
        for (const account of this.accounts.values()) {
            account.setPolicy(policies.get(account.name));
            unparkAll(account.parkedQueues);
        }
        this.updateShares(fleetCapacity);
    }

    /** Recomputes the shares of all teams after policies or the fleet changed. */
    public updateShares(fleetCapacity: Resources): void {
        for (const account of this.accounts.values()) {
            account.updateShare(fleetCapacity);
        }
        this.urgentQueue.allSharesChanged();
        this.serviceQueue.allSharesChanged();
        this.ordinaryQueue.allSharesChanged();
    }

    /**
     * Weighted dominant share of each team if those with running tasks split the fleet exactly by weight; infinite when
     * no team has any.
     */
    public fairLevel(): number {
        this.cachedFairLevel ??= this.computeFairLevel();
        return this.cachedFairLevel;
    }

    /** Discards the cached fair level. */
    public invalidateFairLevel(): void {
        this.cachedFairLevel = undefined;
    }

    /** Removes the team's queues from the order; must be called before the usage of a team changes. */
    public beginUsageChange(team: TeamAccount): void {
        for (const queue of team.queues) {
            queue.fairQueue.classQueue.beginUsageChange(queue);
        }
    }

    /** Adds the team's queues to the order again; must be called after the usage of a team changed. */
    public endUsageChange(team: TeamAccount): void {
        for (const queue of team.queues) {
            queue.fairQueue.update(queue);
        }
    }

    /** Updates the order after a task size was blocked or unblocked. */
    public shapeChanged(shape: Shape): void {
        this.urgentQueue.shapeChanged(shape);
        this.serviceQueue.shapeChanged(shape);
        this.ordinaryQueue.shapeChanged(shape);
    }

    /** Returns the queue of a group's priority class. */
    public queueOf(group: GroupState): PriorityClassQueue {
        if (group.definition.urgent) {
            return this.urgentQueue;
        }
        return group.isService ? this.serviceQueue : this.ordinaryQueue;
    }

    private computeFairLevel(): number {
        let totalWeight = 0;
        for (const account of this.accounts.values()) {
            totalWeight += account.weightedShare > 0 ? account.weight : 0;
        }
        return totalWeight > 0 ? 1 / totalWeight : Number.POSITIVE_INFINITY;
    }
}
