import type { RandomSource } from "@skylarkpath/common/random/RandomSource";

/** Draws an amount. */
export type Distribution = (random: RandomSource) => number;

/** The same amount every time. */
export function constant(value: number): Distribution {
    return () => value;
}

/** One of the given amounts, each as likely. */
export function oneOf(values: readonly number[]): Distribution {
    return random => values[Math.floor(random.next() * values.length)]!;
}

/** Exponential with the given mean. */
export function exponential(mean: number): Distribution {
    return random => -Math.log(1 - random.next()) * mean;
}

/** Log-normal with the given median; sigma is the deviation of the logarithm. */
export function logNormal(median: number, sigma: number): Distribution {
    return random => median * Math.exp(sigma * drawNormal(random));
}

function drawNormal(random: RandomSource): number {
    const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
    return radius * Math.cos(2 * Math.PI * random.next());
}
