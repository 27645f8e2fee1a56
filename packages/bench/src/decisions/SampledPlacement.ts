import { createSeededRandom, nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { LookupPlacement, LookupSimulationContext } from "./LookupSimulation.js";
import type { LookupArrival } from "./LookupWorkload.js";

interface SampledTarget {
    readonly targetId: string;
    inUse: number;
    /** Load last reported to the entries; up to one report interval old. */
    reportedLoad: number;
    readonly queue: LookupArrival[];
}

const SEED = 5002;
const SAMPLES_PER_LOOKUP = 2;
const LOAD_REPORT_INTERVAL_MS = 5;
/** Includes queued look-ups; further ones are shed. */
const MAX_LOOKUPS_PER_TARGET = 64;

/**
 * Power of two choices: an entry samples two targets and sends the look-up to the one with the lower reported load.
 * Look-ups queue at the target in order of arrival; they are shed when the queue is full or their deadline has passed.
 */
export class SampledPlacement implements LookupPlacement {
    private readonly random = createSeededRandom(SEED);
    private readonly targets: readonly SampledTarget[];

    constructor(private readonly context: LookupSimulationContext) {
        this.targets = [...Array(context.shape.targets).keys()].map(target => ({
            targetId: `target${target}`,
            inUse: 0,
            reportedLoad: 0,
            queue: []
        }));
        this.updateReportedLoads(0);
    }

    public handleArrival(lookup: LookupArrival, nowMs: number): void {
        let best = this.sampleTarget();
        for (let sample = 1; sample < SAMPLES_PER_LOOKUP; sample++) {
            const other = this.sampleTarget();
            best = other.reportedLoad < best.reportedLoad ? other : best;
        }
        if (best.inUse + best.queue.length >= MAX_LOOKUPS_PER_TARGET) {
            this.context.shed(lookup);
            return;
        }
        best.queue.push(lookup);
        this.serve(best, nowMs);
    }

    private serve(target: SampledTarget, nowMs: number): void {
        while (target.inUse < this.context.shape.slotsPerTarget && target.queue.length > 0) {
            const lookup = target.queue.shift()!;
            if (nowMs >= lookup.deadlineAtMs) {
                this.context.shed(lookup);
                continue;
            }
            target.inUse++;
            this.context.start(lookup, target.targetId, nowMs, endedAtMs => {
                target.inUse--;
                this.serve(target, endedAtMs);
            });
        }
    }

    private sampleTarget(): SampledTarget {
        return this.targets[nextInteger(this.random, this.targets.length)]!;
    }

    private updateReportedLoads(nowMs: number): void {
        for (const target of this.targets) {
            target.reportedLoad = target.inUse + target.queue.length;
        }
        if (nowMs <= this.context.shape.durationMs * 2) {
            this.context.events.schedule(nowMs + LOAD_REPORT_INTERVAL_MS, atMs => this.updateReportedLoads(atMs));
        }
    }
}
