import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { type Distribution, exponential } from "./Distribution.js";

/** Look-up that arrives at an entry; times are virtual. */
export interface LookupArrival {
    readonly lookupId: string;
    readonly atMs: number;
    readonly team: string;
    readonly entry: number;
    readonly deadlineAtMs: number;
    /** Time that the look-up takes at a target. */
    readonly serviceMs: number;
}

/** Parameters of a reproducible look-up workload. */
export interface LookupWorkloadShape {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    readonly targets: number;
    readonly slotsPerTarget: number;
    readonly entries: number;
    readonly teams: readonly string[];
    /** Average fraction of the slots that the workload needs; above 1 it overloads the targets. */
    readonly load: number;
    /** Multiplies the arrival rate during a burst, which takes up a tenth of each burst period. */
    readonly burstFactor: number;
    readonly meanServiceMs: number;
    readonly serviceMs: Distribution;
}

const BURST_PERIOD_MS = 10_000;
const BURST_FRACTION = 0.1;
const SHORT_DEADLINE_MS = 1_000;
const LONG_DEADLINE_MS = 4_000;
/** Fraction of the look-ups that all arrive at the first entry; the others are spread evenly over all entries. */
const SKEWED_ARRIVAL_FRACTION = 0.3;

/** Creates all look-ups of a workload in order of arrival. */
export function createLookups(shape: LookupWorkloadShape): readonly LookupArrival[] {
    const random = createSeededRandom(shape.seed);
    const totalSlots = shape.targets * shape.slotsPerTarget;
    const baseRate = totalSlots * shape.load / shape.meanServiceMs
        / (1 - BURST_FRACTION + BURST_FRACTION * shape.burstFactor);
    const drawGap = exponential(1);
    const lookups: LookupArrival[] = [];
    for (let atMs = 0; atMs < shape.durationMs;) {
        const inBurst = atMs % BURST_PERIOD_MS < BURST_PERIOD_MS * BURST_FRACTION;
        atMs += drawGap(random) / (baseRate * (inBurst ? shape.burstFactor : 1));
        const isSkewed = random.next() < SKEWED_ARRIVAL_FRACTION;
        lookups.push({
            lookupId: `lookup${lookups.length}`,
            atMs,
            // Squaring skews the draw, so that earlier teams submit more look-ups.
            team: shape.teams[Math.floor(random.next() ** 2 * shape.teams.length)]!,
            entry: isSkewed ? 0 : Math.floor(random.next() * shape.entries),
            deadlineAtMs: atMs + (random.next() < 0.5 ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS),
            serviceMs: shape.serviceMs(random)
        });
    }
    return lookups;
}
