import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { SliceLookupScheduler } from "@skylarkpath/decisions/SliceLookupScheduler";
import type { LookupPlacement, LookupRunContext } from "./LookupRun.js";
import type { LookupArrival } from "./LookupWorkload.js";

/** Time that messages between entry and scheduler take. */
export interface PlacementHops {
    readonly requestMs: number;
    /** From the decision to the start, and from the end until the scheduler knows. */
    readonly decisionMs: number;
}

const SEED = 5001;
const QUEUE = "parts";

/** Targets with their slots, as one scheduler has them. */
export interface SlotShare {
    readonly targetId: string;
    readonly slots: number;
}

/** Look-up scheduler of the project at an owner that is some time away from the entries. */
export class SchedulerPlacement implements LookupPlacement {
    private readonly scheduler = new SliceLookupScheduler(createSeededRandom(SEED));
    private readonly inUse = new Map<string, number>();
    private readonly arrivals = new Map<string, LookupArrival>();

    constructor(
        private readonly context: LookupRunContext,
        shares: readonly SlotShare[],
        private readonly hops: PlacementHops
    ) {
        const { teams, targets, slotsPerTarget } = context.shape;
        const policy = { share: 1, slots: targets * slotsPerTarget };
        this.scheduler.setTeams(new Map(teams.map(team => [team, policy])));
        this.setSlots(shares);
    }

    /** Takes over the slots that may be used. */
    public setSlots(shares: readonly SlotShare[]): void {
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
        return this.arrivals.size;
    }

    /** Sends a look-up over to the scheduler. */
    public arrive(lookup: LookupArrival, nowMs: number): void {
        if (this.hops.requestMs === 0) {
            this.submit(lookup, nowMs);
        }
        else {
            this.context.events.at(nowMs + this.hops.requestMs, atMs => this.submit(lookup, atMs));
        }
    }

    /** Carries out what the scheduler decides now. */
    public decide(nowMs: number): void {
        for (const decision of this.scheduler.decide(nowMs)) {
            const lookup = this.arrivals.get(decision.lookupId)!;
            this.arrivals.delete(decision.lookupId);
            if ("targetId" in decision) {
                this.start(lookup, decision.targetId, nowMs);
            }
            else {
                this.context.shed(lookup);
            }
        }
    }

    private submit(lookup: LookupArrival, nowMs: number): void {
        this.arrivals.set(lookup.lookupId, lookup);
        const { lookupId, team, deadlineAtMs } = lookup;
        this.scheduler.submit({ lookupId, team, queue: QUEUE, deadlineAtMs, submittedAtMs: nowMs });
        this.decide(nowMs);
    }

    /** The slot stays taken while the decision and the end travel. */
    private start(lookup: LookupArrival, targetId: string, nowMs: number): void {
        this.inUse.set(targetId, this.slotsInUse(targetId) + 1);
        this.after(nowMs, startAtMs => {
            this.context.start(lookup, targetId, startAtMs, endedAtMs => {
                this.after(endedAtMs, heardAtMs => this.finish(lookup, targetId, heardAtMs));
            });
        });
    }

    private finish(lookup: LookupArrival, targetId: string, nowMs: number): void {
        this.inUse.set(targetId, this.slotsInUse(targetId) - 1);
        this.scheduler.finished(lookup.lookupId, lookup.serviceMs, true);
        this.decide(nowMs);
    }

    private after(nowMs: number, run: (nowMs: number) => void): void {
        if (this.hops.decisionMs === 0) {
            run(nowMs);
        }
        else {
            this.context.events.at(nowMs + this.hops.decisionMs, run);
        }
    }
}
