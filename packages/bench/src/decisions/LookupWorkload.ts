import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { type Distribution, exponential } from "./Distribution.js";

/** Look-up that arrives at an entry. */
export interface LookupArrival {
    readonly lookupId: string;
    readonly atMs: number;
    readonly team: string;
    readonly entry: number;
    readonly deadlineAtMs: number;
    readonly serviceMs: number;
}

/** Shape of a seeded load of look-ups. */
export interface LookupWorkloadShape {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    readonly targets: number;
    readonly slotsPerTarget: number;
    readonly entries: number;
    readonly teams: readonly string[];
    /** Part of the slots in use on average. */
    readonly load: number;
    /** Factor of the arrival rate during a burst, which lasts a tenth of each period. */
    readonly burstFactor: number;
    readonly meanServiceMs: number;
    readonly serviceMs: Distribution;
}

const BURST_PERIOD_MS = 10_000;
const BURST_FRACTION = 0.1;
const SHORT_DEADLINE_MS = 1_000;
const LONG_DEADLINE_MS = 4_000;
const SKEWED_ARRIVAL_FRACTION = 0.3;

/** All look-ups of a load in order of time. */
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
            team: shape.teams[Math.floor(random.next() ** 2 * shape.teams.length)]!,
            entry: isSkewed ? 0 : Math.floor(random.next() * shape.entries),
            deadlineAtMs: atMs + (random.next() < 0.5 ? SHORT_DEADLINE_MS : LONG_DEADLINE_MS),
            serviceMs: shape.serviceMs(random)
        });
    }
    return lookups;
}
