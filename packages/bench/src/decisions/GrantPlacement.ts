import type { LookupPlacement, LookupRunContext } from "./LookupRun.js";
import type { LookupArrival } from "./LookupWorkload.js";
import { SchedulerPlacement, type SlotShare } from "./SchedulerPlacement.js";

const REBALANCE_INTERVAL_MS = 100;
const SMOOTHING = 0.3;

/** Slots granted to entries by their recent arrivals; each entry decides alone about its own. */
export class GrantPlacement implements LookupPlacement {
    private readonly entries: readonly SchedulerPlacement[];
    private readonly demand: number[];
    private readonly arrived: number[];

    constructor(private readonly context: LookupRunContext) {
        const { entries } = context.shape;
        this.demand = Array<number>(entries).fill(1);
        this.arrived = Array<number>(entries).fill(0);
        const shares = this.divide();
        this.entries = shares.map(share => new SchedulerPlacement(context, share, { requestMs: 0, decisionMs: 0 }));
        this.scheduleRebalance(0);
    }

    public arrive(lookup: LookupArrival, nowMs: number): void {
        this.arrived[lookup.entry] = this.arrived[lookup.entry]! + 1;
        this.entries[lookup.entry]!.arrive(lookup, nowMs);
    }

    private scheduleRebalance(nowMs: number): void {
        const nextAtMs = nowMs + REBALANCE_INTERVAL_MS;
        if (nextAtMs <= this.context.shape.durationMs * 2) {
            this.context.events.at(nextAtMs, atMs => this.rebalance(atMs));
        }
    }

    private rebalance(nowMs: number): void {
        this.arrived.forEach((count, entry) => {
            const waiting = this.entries[entry]!.waitingCount;
            this.demand[entry] = this.demand[entry]! * (1 - SMOOTHING) + SMOOTHING * (count + waiting + 1);
            this.arrived[entry] = 0;
        });
        const shares = this.divide();
        for (let target = 0; target < this.context.shape.targets; target++) {
            this.limitGrowth(shares.map(share => share[target]!), shares, target);
        }
        shares.forEach((share, entry) => {
            this.entries[entry]!.setSlots(share);
            this.entries[entry]!.decide(nowMs);
        });
        this.scheduleRebalance(nowMs);
    }

    /** An entry grows only by slots that no other still has in use. */
    private limitGrowth(desired: readonly SlotShare[], shares: SlotShare[][], target: number): void {
        let held = 0;
        desired.forEach(({ targetId, slots }, entry) => {
            held += Math.max(slots, this.entries[entry]!.slotsInUse(targetId));
        });
        let surplus = held - this.context.shape.slotsPerTarget;
        desired.forEach(({ targetId, slots }, entry) => {
            const cut = Math.max(0, Math.min(surplus, slots - this.entries[entry]!.slotsInUse(targetId)));
            surplus -= cut;
            shares[entry]![target] = { targetId, slots: slots - cut };
        });
    }

    /** Divides all slots by demand; what rounding leaves goes round. */
    private divide(): SlotShare[][] {
        const { targets, slotsPerTarget, entries } = this.context.shape;
        const total = this.demand.reduce((sum, demand) => sum + demand, 0);
        const shares: SlotShare[][] = Array.from({ length: entries }, () => []);
        for (let target = 0; target < targets; target++) {
            let position = 0;
            let covered = 0;
            for (let entry = 0; entry < entries; entry++) {
                covered += this.demand[entry]! / total * slotsPerTarget;
                const end = entry === entries - 1 ? slotsPerTarget : Math.floor(covered + target / targets);
                const slots = Math.max(0, Math.min(end, slotsPerTarget) - position);
                position += slots;
                shares[entry]!.push({ targetId: `target${target}`, slots });
            }
        }
        return shares;
    }
}
