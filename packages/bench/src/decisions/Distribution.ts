import type { RandomSource } from "@skylarkpath/common/random/RandomSource";

/** Draws a random value from a probability distribution. */
export type Distribution = (random: RandomSource) => number;

/** Distribution that always gives the same value. */
export function constant(value: number): Distribution {
    return () => value;
}

/** Uniform distribution over the given values. */
export function oneOf(values: readonly number[]): Distribution {
    return random => values[Math.floor(random.next() * values.length)]!;
}

/** Exponential distribution with the given mean. */
export function exponential(mean: number): Distribution {
    return random => -Math.log(1 - random.next()) * mean;
}

/** Log-normal distribution with the given median; sigma is the standard deviation of the natural logarithm. */
export function logNormal(median: number, sigma: number): Distribution {
    return random => median * Math.exp(sigma * drawNormal(random));
}

/** Draws a standard normal value by the Box-Muller transform. */
function drawNormal(random: RandomSource): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
    return radius * Math.cos(2 * Math.PI * random.next());
}
