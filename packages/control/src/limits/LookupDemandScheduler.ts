import type {
    LookupDecision,
    LookupScheduler,
    LookupTeamPolicy,
    PendingLookup,
    TargetView
} from "@skylarkpath/common/scheduling/LookupScheduler";
import type { WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";

/** Wraps a look-up scheduler to count the waiting look-ups of each team and the slots of the targets. */
export class LookupDemandScheduler implements LookupScheduler {
    private readonly teamsByLookup = new Map<string, string>();
    private readonly waitingByTeam = new Map<string, number>();
    private readonly targets = new Map<string, TargetView>();

    constructor(private readonly inner: LookupScheduler) {}

    /** Number of slots of all targets. */
    public get capacity(): number {
        return [...this.targets.values()].reduce((sum, target) => sum + target.slots, 0);
    }

    /** Number of slots of targets that accept no look-ups; how many of them are in use may not be known yet. */
    public get unschedulableSlots(): number {
        const unschedulable = [...this.targets.values()].filter(target => !target.schedulable);
        return unschedulable.reduce((sum, target) => sum + target.slots, 0);
    }

    /** Number of a team's look-ups that wait for a slot. */
    public waitingCount(team: string): number {
        return this.waitingByTeam.get(team) ?? 0;
    }

    public setTeams(teams: ReadonlyMap<string, LookupTeamPolicy>): void {
        this.inner.setTeams(teams);
    }

    public upsertTarget(target: TargetView): void {
        this.targets.set(target.targetId, target);
        this.inner.upsertTarget(target);
    }

    public removeTarget(targetId: string): void {
        this.targets.delete(targetId);
        this.inner.removeTarget(targetId);
    }

    public submit(lookup: PendingLookup): void {
        this.teamsByLookup.set(lookup.lookupId, lookup.team);
        this.waitingByTeam.set(lookup.team, this.waitingCount(lookup.team) + 1);
        this.inner.submit(lookup);
    }

    public adopt(lookupId: string, team: string, targetId: string): void {
        this.inner.adopt(lookupId, team, targetId);
    }

    public withdraw(lookupId: string): boolean {
        this.removeWaiting(lookupId);
        return this.inner.withdraw(lookupId);
    }

    public finished(lookupId: string, latencyMs: number, succeeded: boolean): void {
        this.inner.finished(lookupId, latencyMs, succeeded);
    }

    public decide(nowMs: number): readonly LookupDecision[] {
        const decisions = this.inner.decide(nowMs);
        for (const decision of decisions) {
            this.removeWaiting(decision.lookupId);
        }
        return decisions;
    }

    public explain(lookupId: string): WaitExplanation | undefined {
        return this.inner.explain(lookupId);
    }

    public slotsInUse(team: string): number {
        return this.inner.slotsInUse(team);
    }

    private removeWaiting(lookupId: string): void {
        const team = this.teamsByLookup.get(lookupId);
        if (team !== undefined) {
            this.teamsByLookup.delete(lookupId);
            this.waitingByTeam.set(team, this.waitingCount(team) - 1);
        }
    }
}
