import { createSeededRandom, nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { LookupPlacement, LookupRunContext } from "./LookupRun.js";
import type { LookupArrival } from "./LookupWorkload.js";

interface SampledTarget {
    readonly targetId: string;
    inUse: number;
    /** Load as the entries last heard of it. */
    seenLoad: number;
    readonly queue: LookupArrival[];
}

const SEED = 5002;
const SAMPLES = 2;
const LOAD_AGE_MS = 5;
const CONNECTIONS = 64;

/** Entries choose the less loaded of two targets; look-ups queue at the target in order of arrival. */
export class SampledPlacement implements LookupPlacement {
    private readonly random = createSeededRandom(SEED);
    private readonly targets: readonly SampledTarget[];

    constructor(private readonly context: LookupRunContext) {
        this.targets = [...Array(context.shape.targets).keys()].map(target => ({
            targetId: `target${target}`,
            inUse: 0,
            seenLoad: 0,
            queue: []
        }));
        this.refreshLoads(0);
    }

    public arrive(lookup: LookupArrival, nowMs: number): void {
        let best = this.draw();
        for (let sample = 1; sample < SAMPLES; sample++) {
            const other = this.draw();
            best = other.seenLoad < best.seenLoad ? other : best;
        }
        if (best.inUse + best.queue.length >= CONNECTIONS) {
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

    private draw(): SampledTarget {
        return this.targets[nextInteger(this.random, this.targets.length)]!;
    }

    private refreshLoads(nowMs: number): void {
        for (const target of this.targets) {
            target.seenLoad = target.inUse + target.queue.length;
        }
        if (nowMs <= this.context.shape.durationMs * 2) {
            this.context.events.at(nowMs + LOAD_AGE_MS, atMs => this.refreshLoads(atMs));
        }
    }
}
