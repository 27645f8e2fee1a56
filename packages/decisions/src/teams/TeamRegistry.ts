import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TeamPolicy } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { GroupState } from "../groups/GroupState.js";
import type { Shape } from "../groups/Shape.js";
import { unparkAll } from "../groups/ShapeQueue.js";
import { PriorityLine } from "./PriorityLine.js";
import { TeamAccount } from "./TeamAccount.js";

/** Accounts of all teams and the lines of their waiting work. */
export class TeamRegistry {
    public readonly urgentLine = new PriorityLine();
    public readonly serviceLine = new PriorityLine();
    public readonly ordinaryLine = new PriorityLine();
    private knownFairLevel: number | undefined;
    private readonly accounts = new Map<string, TeamAccount>();

    /** Returns the account of a team; one without policy may run nothing. */
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

    /** Takes over the policies of all teams; those left out may start nothing more. */
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

    /** Computes all shares anew, after policies or the fleet changed. */
    public updateShares(fleetCapacity: Resources): void {
        for (const account of this.accounts.values()) {
            account.updateShare(fleetCapacity);
        }
        this.urgentLine.allTeamsChanged();
        this.serviceLine.allTeamsChanged();
        this.ordinaryLine.allTeamsChanged();
    }

    /** Weighted dominant share that each team has when all with work running use exactly their share. */
    public fairLevel(): number {
        this.knownFairLevel ??= this.computeFairLevel();
        return this.knownFairLevel;
    }

    /** Has the fair level computed anew when asked for next. */
    public forgetFairLevel(): void {
        this.knownFairLevel = undefined;
    }

    /** Has to be called before the usage of a team changes. */
    public beginChange(team: TeamAccount): void {
        for (const queue of team.queues) {
            queue.shapeLine.line.beginChange(queue);
        }
    }

    /** Has to be called after the usage of a team changed. */
    public endChange(team: TeamAccount): void {
        for (const queue of team.queues) {
            queue.shapeLine.refresh(queue);
        }
    }

    /** Follows a task size that was blocked or unblocked. */
    public shapeChanged(shape: Shape): void {
        this.urgentLine.shapeChanged(shape);
        this.serviceLine.shapeChanged(shape);
        this.ordinaryLine.shapeChanged(shape);
    }

    /** Returns the line in which a group waits. */
    public lineOf(group: GroupState): PriorityLine {
        if (group.definition.urgent) {
            return this.urgentLine;
        }
        return group.isService ? this.serviceLine : this.ordinaryLine;
    }

    private computeFairLevel(): number {
        let weights = 0;
        for (const account of this.accounts.values()) {
            weights += account.weightedShare > 0 ? account.weight : 0;
        }
        return weights > 0 ? 1 / weights : Number.POSITIVE_INFINITY;
    }
}
