import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { SliceLookupScheduler } from "@skylarkpath/decisions/SliceLookupScheduler";
import type { LookupPlacement, LookupSimulationContext } from "./LookupSimulation.js";
import type { LookupArrival } from "./LookupWorkload.js";

/** Delays of messages between an entry and the scheduler. */
export interface MessageDelays {
    /** From the arrival at the entry to the submission to the scheduler. */
    readonly requestDelayMs: number;
    /** From a decision to the start at the target, and from the end there to its report to the scheduler. */
    readonly decisionDelayMs: number;
}

const SEED = 5001;
const QUEUE = "parts";

/** Slots of a target that one scheduler may use. */
export interface TargetSlots {
    readonly targetId: string;
    readonly slots: number;
}

/** Places look-ups with this project's scheduler; messages between the entries and the scheduler can be delayed. */
export class SchedulerPlacement implements LookupPlacement {
    private readonly scheduler = new SliceLookupScheduler(createSeededRandom(SEED));
    private readonly inUse = new Map<string, number>();
    private readonly waitingLookups = new Map<string, LookupArrival>();

    constructor(
        private readonly context: LookupSimulationContext,
        shares: readonly TargetSlots[],
        private readonly delays: MessageDelays
    ) {
        const { teams, targets, slotsPerTarget } = context.shape;
        const policy = { share: 1, slots: targets * slotsPerTarget };
        this.scheduler.setTeams(new Map(teams.map(team => [team, policy])));
        this.setSlots(shares);
    }

    /** Sets the slots that this scheduler may use. */
    public setSlots(shares: readonly TargetSlots[]): void {
        for (const { targetId, slots } of shares) {
            this.scheduler.upsertTarget({ targetId, slots, queues: [], schedulable: slots > 0 });
        }
    }

    /** Slots of a target that this scheduler has in use. */
    public slotsInUse(targetId: string): number {
        return this.inUse.get(targetId) ?? 0;
    }

    /** Number of look-ups that wait for a slot. */
    public get waitingCount(): number {
        return this.waitingLookups.size;
    }

    /** Submits a look-up to the scheduler after the request delay. */
    public handleArrival(lookup: LookupArrival, nowMs: number): void {
        if (this.delays.requestDelayMs === 0) {
            this.submit(lookup, nowMs);
        }
        else {
            this.context.events.schedule(nowMs + this.delays.requestDelayMs, atMs => this.submit(lookup, atMs));
        }
    }

    /** Runs the scheduler and executes its decisions. */
    public decide(nowMs: number): void {
        for (const decision of this.scheduler.decide(nowMs)) {
            const lookup = this.waitingLookups.get(decision.lookupId)!;
            this.waitingLookups.delete(decision.lookupId);
            if ("targetId" in decision) {
                this.start(lookup, decision.targetId, nowMs);
            }
            else {
                this.context.shed(lookup);
            }
        }
    }

    private submit(lookup: LookupArrival, nowMs: number): void {
        this.waitingLookups.set(lookup.lookupId, lookup);
        const { lookupId, team, deadlineAtMs } = lookup;
        this.scheduler.submit({ lookupId, team, queue: QUEUE, deadlineAtMs, submittedAtMs: nowMs });
        this.decide(nowMs);
    }

    /** Occupies the slot from the decision until the end is reported, message delays included. */
    private start(lookup: LookupArrival, targetId: string, nowMs: number): void {
        this.inUse.set(targetId, this.slotsInUse(targetId) + 1);
        this.afterDecisionDelay(nowMs, startAtMs => {
            this.context.start(lookup, targetId, startAtMs, endedAtMs => {
                this.afterDecisionDelay(endedAtMs, reportedAtMs => this.finish(lookup, targetId, reportedAtMs));
            });
        });
    }

    private finish(lookup: LookupArrival, targetId: string, nowMs: number): void {
        this.inUse.set(targetId, this.slotsInUse(targetId) - 1);
        this.scheduler.finished(lookup.lookupId, lookup.serviceMs, true);
        this.decide(nowMs);
    }

    private afterDecisionDelay(nowMs: number, run: (nowMs: number) => void): void {
        if (this.delays.decisionDelayMs === 0) {
            run(nowMs);
        }
        else {
            this.context.events.schedule(nowMs + this.delays.decisionDelayMs, run);
        }
    }
}
