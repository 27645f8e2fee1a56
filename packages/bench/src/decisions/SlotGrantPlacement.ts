import type { LookupPlacement, LookupSimulationContext } from "./LookupSimulation.js";
import type { LookupArrival } from "./LookupWorkload.js";
import { SchedulerPlacement, type TargetSlots } from "./SchedulerPlacement.js";

const REBALANCE_INTERVAL_MS = 100;
const SMOOTHING_FACTOR = 0.3;

/**
 * Divides the slots of all targets among the entries in proportion to their recent demand.
 * Each entry runs a scheduler of its own over the slots that it is granted.
 */
export class SlotGrantPlacement implements LookupPlacement {
    private readonly entries: readonly SchedulerPlacement[];
    private readonly demand: number[];
    private readonly arrivalCounts: number[];

    constructor(private readonly context: LookupSimulationContext) {
        const { entries } = context.shape;
        this.demand = Array<number>(entries).fill(1);
        this.arrivalCounts = Array<number>(entries).fill(0);
        const shares = this.divideSlots();
        this.entries = shares.map(share =>
            new SchedulerPlacement(context, share, { requestDelayMs: 0, decisionDelayMs: 0 })
        );
        this.scheduleRebalance(0);
    }

    public handleArrival(lookup: LookupArrival, nowMs: number): void {
        this.arrivalCounts[lookup.entry] = this.arrivalCounts[lookup.entry]! + 1;
        this.entries[lookup.entry]!.handleArrival(lookup, nowMs);
    }

    private scheduleRebalance(nowMs: number): void {
        const nextAtMs = nowMs + REBALANCE_INTERVAL_MS;
        if (nextAtMs <= this.context.shape.durationMs * 2) {
            this.context.events.schedule(nextAtMs, atMs => this.rebalance(atMs));
        }
    }

    private rebalance(nowMs: number): void {
        this.arrivalCounts.forEach((count, entry) => {
            const waiting = this.entries[entry]!.waitingCount;
            this.demand[entry] = this.demand[entry]! * (1 - SMOOTHING_FACTOR)
                + SMOOTHING_FACTOR * (count + waiting + 1);
            this.arrivalCounts[entry] = 0;
        });
        const shares = this.divideSlots();
        for (let target = 0; target < this.context.shape.targets; target++) {
            this.limitGrowth(shares.map(share => share[target]!), shares, target);
        }
        shares.forEach((share, entry) => {
            this.entries[entry]!.setSlots(share);
            this.entries[entry]!.decide(nowMs);
        });
        this.scheduleRebalance(nowMs);
    }

    /** Lowers the new grants for a target where another entry still uses the slots that it has to give up. */
    private limitGrowth(desired: readonly TargetSlots[], shares: TargetSlots[][], target: number): void {
        let committed = 0;
        desired.forEach(({ targetId, slots }, entry) => {
            committed += Math.max(slots, this.entries[entry]!.slotsInUse(targetId));
        });
        let excess = committed - this.context.shape.slotsPerTarget;
        desired.forEach(({ targetId, slots }, entry) => {
            const reduction = Math.max(0, Math.min(excess, slots - this.entries[entry]!.slotsInUse(targetId)));
            excess -= reduction;
            shares[entry]![target] = { targetId, slots: slots - reduction };
        });
    }

    /** Divides the slots of each target by demand; rounding differs by target, so that no entry gets all remainders. */
    private divideSlots(): TargetSlots[][] {
        const { targets, slotsPerTarget, entries } = this.context.shape;
        const total = this.demand.reduce((sum, demand) => sum + demand, 0);
        const shares: TargetSlots[][] = Array.from({ length: entries }, () => []);
        for (let target = 0; target < targets; target++) {
            let assigned = 0;
            let cumulativeSlots = 0;
            for (let entry = 0; entry < entries; entry++) {
                cumulativeSlots += this.demand[entry]! / total * slotsPerTarget;
                const end = entry === entries - 1 ? slotsPerTarget : Math.floor(cumulativeSlots + target / targets);
                const slots = Math.max(0, Math.min(end, slotsPerTarget) - assigned);
                assigned += slots;
                shares[entry]!.push({ targetId: `target${target}`, slots });
            }
        }
        return shares;
    }
}
