import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { SliceLookupScheduler } from "@skylarkpath/decisions/SliceLookupScheduler";
import type { LookupPlacement, LookupSimulationContext } from "./LookupSimulation.js";
import type { LookupArrival } from "./LookupWorkload.js";

/** Time that messages between entry and scheduler take. */
export interface MessageDelays {
    readonly requestDelayMs: number;
    /** From the decision to the start, and from the end until the scheduler knows. */
    readonly decisionDelayMs: number;
}

const SEED = 5001;
const QUEUE = "parts";

/** Targets with their slots, as one scheduler has them. */
export interface TargetSlots {
    readonly targetId: string;
    readonly slots: number;
}

/** Look-up scheduler of the project at an owner that is some time away from the entries. */
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

    /** Takes over the slots that may be used. */
    public setSlots(shares: readonly TargetSlots[]): void {
        for (const { targetId, slots } of shares) {
            this.scheduler.upsertTarget({ targetId, slots, queues: [], schedulable: slots > 0 });
        }
    }

    /** Slots of a target that are in use from here. */
    public slotsInUse(targetId: string): number {
        return this.inUse.get(targetId) ?? 0;
    }

    /** Look-ups that wait here. */
    public get waitingCount(): number {
        return this.waitingLookups.size;
    }

    /** Sends a look-up over to the scheduler. */
    public handleArrival(lookup: LookupArrival, nowMs: number): void {
        if (this.delays.requestDelayMs === 0) {
            this.submit(lookup, nowMs);
        }
        else {
            this.context.events.schedule(nowMs + this.delays.requestDelayMs, atMs => this.submit(lookup, atMs));
        }
    }

    /** Carries out what the scheduler decides now. */
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

    /** The slot stays taken while the decision and the end travel. */
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
