import { performance } from "node:perf_hooks";

const ITERATIONS = 20_000;
const MULTIPLIER = 1_103_515_245;
const INCREMENT = 12_345;

/** Returns how long a fixed computation takes in ms: some tens of microseconds on a whole processor. */
export function timeFixedWork(): number {
    const startedMs = performance.now();
    let value = 1;
    for (let iteration = 0; iteration < ITERATIONS; iteration++) {
        value = (Math.imul(value, MULTIPLIER) + INCREMENT) >>> 0;
    }
    // The result is used, so that the loop is not optimized away.
    return value < 0 ? 0 : performance.now() - startedMs;
}
