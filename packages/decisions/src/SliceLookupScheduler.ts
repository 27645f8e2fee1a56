import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import {
    type LookupDecision,
    type LookupScheduler,
    type LookupTeamPolicy,
    type PendingLookup,
    ShedReason,
    type TargetView
} from "@skylarkpath/common/scheduling/LookupScheduler";
import { WaitCause, type WaitExplanation } from "@skylarkpath/common/scheduling/TaskScheduler";
import { DEFAULT_LOOKUP_OPTIONS, type LookupOptions } from "./lookups/LookupOptions.js";
import { isServedBefore, LookupQueue } from "./lookups/LookupQueue.js";
import { LookupTeam } from "./lookups/LookupTeam.js";
import { TargetRegistry } from "./lookups/TargetRegistry.js";
import type { TargetState } from "./lookups/TargetState.js";
import { TeamQueue } from "./lookups/TeamQueue.js";
import { WaitingLookup } from "./lookups/WaitingLookup.js";

interface SlotInUse {
    readonly team: LookupTeam;
    readonly target: TargetState;
    /** Absent for an adopted look-up, whose queue is not known. */
    readonly queue?: LookupQueue;
}

const QUEUE_SAMPLES = 16;

/** Assigns the target slots of one slice to waiting look-ups and sheds those that cannot meet their deadline. */
export class SliceLookupScheduler implements LookupScheduler {
    private readonly teams = new Map<string, LookupTeam>();
    private readonly queues = new Map<string, LookupQueue>();
    private readonly targets: TargetRegistry;
    private readonly waiting = new Map<string, WaitingLookup>();
    private readonly inUse = new Map<string, SlotInUse>();
    private readonly options: LookupOptions;
    private decisions: LookupDecision[] = [];
    private nextShedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly random: RandomSource, options: Partial<LookupOptions> = {}) {
        this.options = { ...DEFAULT_LOOKUP_OPTIONS, ...options };
        this.targets = new TargetRegistry(this.options.slowLatencyRatio);
    }

    public setTeams(teams: ReadonlyMap<string, LookupTeamPolicy>): void {
        for (const name of teams.keys()) {
            this.obtainTeam(name);
        }
        for (const team of this.teams.values()) {
            team.setPolicy(teams.get(team.name));
            this.refreshTeam(team);
        }
    }

    public upsertTarget(target: TargetView): void {
        this.targets.upsert(target);
    }

    public removeTarget(targetId: string): void {
        this.targets.remove(targetId);
    }

    public submit(lookup: PendingLookup): void {
        if (this.waiting.has(lookup.lookupId) || this.inUse.has(lookup.lookupId)) {
            return;
        }
        const team = this.obtainTeam(lookup.team);
        const teamQueue = this.obtainTeamQueue(team, lookup.queue);
        const rejectionReason = this.findRejectionReason(lookup, teamQueue);
        if (rejectionReason !== undefined) {
            this.decisions.push({ lookupId: lookup.lookupId, shed: rejectionReason });
            return;
        }
        const entry = new WaitingLookup(lookup, teamQueue);
        this.waiting.set(lookup.lookupId, entry);
        team.waitingCount++;
        teamQueue.push(entry);
        teamQueue.queue.refresh(teamQueue);
        this.enforceMaxWaiting();
    }

    public adopt(lookupId: string, teamName: string, targetId: string): void {
        if (this.inUse.has(lookupId)) {
            return;
        }
        this.withdraw(lookupId);
        this.acquireSlot(lookupId, { team: this.obtainTeam(teamName), target: this.targets.obtain(targetId) });
    }

    public withdraw(lookupId: string): boolean {
        const entry = this.waiting.get(lookupId);
        if (entry === undefined) {
            return false;
        }
        this.removeWaiting(entry);
        return true;
    }

    public finished(lookupId: string, latencyMs: number, succeeded: boolean): void {
        const slot = this.inUse.get(lookupId);
        if (slot === undefined) {
            return;
        }
        this.inUse.delete(lookupId);
        this.recordLatency(slot, latencyMs, succeeded);
        slot.team.slotsInUse--;
        this.targets.releaseSlot(slot.target);
        this.refreshTeam(slot.team);
    }

    public decide(nowMs: number): readonly LookupDecision[] {
        if (nowMs >= this.nextShedAtMs) {
            this.nextShedAtMs = nowMs + this.options.shedIntervalMs;
            this.shedLate(nowMs);
        }
        for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
            this.assignOrShed(next, nowMs);
        }
        const decided = this.decisions;
        this.decisions = [];
        return decided;
    }

    public explain(lookupId: string): WaitExplanation | undefined {
        const entry = this.waiting.get(lookupId);
        if (entry === undefined) {
            return undefined;
        }
        const team = entry.teamQueue.team;
        if (team.isAtLimit) {
            const detail = `team ${team.name} has ${team.slotsInUse} of ${team.slots} slots in use here`;
            return { cause: WaitCause.Limit, detail };
        }
        if (!this.targets.hasTargetFor(entry.lookup.queue)) {
            return { cause: WaitCause.NoWorker, detail: `no target here answers queue ${entry.lookup.queue}` };
        }
        const detail = `all usable slots for queue ${entry.lookup.queue} are in use; `
            + `${team.waitingCount} look-ups of team ${team.name} wait`;
        return { cause: WaitCause.Share, detail };
    }

    public slotsInUse(team: string): number {
        return this.teams.get(team)?.slotsInUse ?? 0;
    }

    /** Returns the queue of the least served team for which a target has a free slot. */
    private findNext(): TeamQueue | undefined {
        let best: TeamQueue | undefined;
        for (const queue of this.queues.values()) {
            const candidate = queue.peek();
            if (
                candidate !== undefined
                && (best === undefined || isServedBefore(candidate, best))
                && this.targets.findLeastLoaded(queue.name) !== undefined
            ) {
                best = candidate;
            }
        }
        return best;
    }

    private assignOrShed(teamQueue: TeamQueue, nowMs: number): void {
        const entry = teamQueue.peek()!;
        const reason = this.findShedReason(entry, nowMs);
        this.removeWaiting(entry);
        if (reason !== undefined) {
            this.decisions.push({ lookupId: entry.lookup.lookupId, shed: reason });
            return;
        }
        const target = this.targets.findLeastLoaded(teamQueue.queue.name)!;
        this.acquireSlot(entry.lookup.lookupId, { team: teamQueue.team, target, queue: teamQueue.queue });
        this.decisions.push({ lookupId: entry.lookup.lookupId, targetId: target.view.targetId });
    }

    private acquireSlot(lookupId: string, slot: SlotInUse): void {
        this.inUse.set(lookupId, slot);
        slot.team.slotsInUse++;
        this.targets.acquireSlot(slot.target);
        this.refreshTeam(slot.team);
    }

    private recordLatency(slot: SlotInUse, latencyMs: number, succeeded: boolean): void {
        if (slot.queue === undefined) {
            return;
        }
        const meanMs = slot.queue.meanServiceMs ?? latencyMs;
        slot.target.observe(meanMs > 0 ? latencyMs / meanMs : 1, succeeded);
        if (succeeded) {
            slot.queue.observe(latencyMs);
        }
    }

    private findRejectionReason(lookup: PendingLookup, teamQueue: TeamQueue): ShedReason | undefined {
        if (teamQueue.team.slots === 0) {
            return ShedReason.LimitReached;
        }
        const remainingMs = lookup.deadlineAtMs - lookup.submittedAtMs;
        if (remainingMs <= 0) {
            return ShedReason.DeadlinePassed;
        }
        const predictedMs = this.predictWaitMs(lookup, teamQueue);
        return predictedMs > remainingMs * this.options.predictedWaitMargin ? ShedReason.Overloaded : undefined;
    }

    private predictWaitMs(lookup: PendingLookup, teamQueue: TeamQueue): number {
        const meanMs = teamQueue.queue.meanServiceMs;
        if (meanMs === undefined || teamQueue.size < QUEUE_SAMPLES) {
            return 0;
        }
        const ahead = teamQueue.estimateEarlierCount(
            lookup.deadlineAtMs,
            QUEUE_SAMPLES,
            bound => nextInteger(this.random, bound)
        );
        return ahead * meanMs / Math.max(1, Math.min(teamQueue.team.slots, teamQueue.team.slotsInUse));
    }

    /** Sheds the look-ups that cannot meet their deadline any more, with the reason why they had to wait. */
    private shedLate(nowMs: number): void {
        for (const team of this.teams.values()) {
            if (team.waitingCount === 0) {
                continue;
            }
            for (const teamQueue of team.queues.values()) {
                this.shedLateIn(teamQueue, nowMs);
            }
        }
    }

    private shedLateIn(teamQueue: TeamQueue, nowMs: number): void {
        for (let entry = teamQueue.peek(); entry !== undefined; entry = teamQueue.peek()) {
            const reason = this.findShedReason(entry, nowMs);
            if (reason === undefined) {
                return;
            }
            this.removeWaiting(entry);
            this.decisions.push({ lookupId: entry.lookup.lookupId, shed: reason });
        }
    }

    private findShedReason(entry: WaitingLookup, nowMs: number): ShedReason | undefined {
        const { lookup, teamQueue } = entry;
        if (nowMs >= lookup.deadlineAtMs) {
            return ShedReason.DeadlinePassed;
        }
        if (nowMs - lookup.submittedAtMs >= this.options.noTargetGraceMs && !this.targets.hasTargetFor(lookup.queue)) {
            return ShedReason.NoTarget;
        }
        const { lenientShedQuantile, strictShedQuantile } = this.options;
        const quantile = this.waiting.size > 1 ? strictShedQuantile : lenientShedQuantile;
        if (nowMs + teamQueue.queue.serviceQuantileMs(quantile) <= lookup.deadlineAtMs) {
            return undefined;
        }
        return teamQueue.team.isAtLimit ? ShedReason.LimitReached : ShedReason.Overloaded;
    }

    /** If too many look-ups wait, sheds one of the team with the most of them relative to its share. */
    private enforceMaxWaiting(): void {
        if (this.waiting.size <= this.options.maxWaiting) {
            return;
        }
        let mostWaiting: LookupTeam | undefined;
        for (const team of this.teams.values()) {
            if (
                mostWaiting === undefined
                || team.waitingCount / team.share > mostWaiting.waitingCount / mostWaiting.share
            ) {
                mostWaiting = team;
            }
        }
        const entry = findLate(mostWaiting);
        if (entry !== undefined) {
            this.removeWaiting(entry);
            this.decisions.push({ lookupId: entry.lookup.lookupId, shed: ShedReason.Overloaded });
        }
    }

    private removeWaiting(entry: WaitingLookup): void {
        this.waiting.delete(entry.lookup.lookupId);
        entry.teamQueue.remove(entry);
        entry.teamQueue.team.waitingCount--;
        entry.teamQueue.queue.refresh(entry.teamQueue);
    }

    private refreshTeam(team: LookupTeam): void {
        for (const teamQueue of team.queues.values()) {
            teamQueue.queue.refresh(teamQueue);
        }
    }

    private obtainTeam(name: string): LookupTeam {
        let team = this.teams.get(name);
        if (team === undefined) {
            team = new LookupTeam(name);
            this.teams.set(name, team);
        }
        return team;
    }

    private obtainTeamQueue(team: LookupTeam, name: string): TeamQueue {
        let teamQueue = team.queues.get(name);
        if (teamQueue === undefined) {
            teamQueue = new TeamQueue(team, this.obtainQueue(name));
            team.queues.set(name, teamQueue);
        }
        return teamQueue;
    }

    private obtainQueue(name: string): LookupQueue {
        let queue = this.queues.get(name);
        if (queue === undefined) {
            queue = new LookupQueue(name);
            this.queues.set(name, queue);
        }
        return queue;
    }
}

function findLate(team: LookupTeam | undefined): WaitingLookup | undefined {
    for (const teamQueue of team?.queues.values() ?? []) {
        const entry = teamQueue.peekLate();
        if (entry !== undefined) {
            return entry;
        }
    }
    return undefined;
}
