import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; a seeded one makes runs repeatable. */
export interface RandomSource {
    /** Returns a number in [0, 1). */
    next(): number;
}

/** Creates a repeatable random source from a seed. */
export function createSeededRandom(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
}

/** Returns an integer in [0, bound). */
export function nextInteger(random: RandomSource, bound: number): number {
    return Math.floor(random.next() * bound);
}
