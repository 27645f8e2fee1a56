import type { StepSpec } from "./JobSpec.js";

/** Returns the duration in ms of the longest chain of steps that wait for each other. */
export function criticalPath(steps: readonly StepSpec[], durationMs: (step: StepSpec) => number): number {
    const pathsMs: number[] = [];
    for (const step of steps) {
        pathsMs.push(durationMs(step) + Math.max(0, ...step.after.map(number => pathsMs[number] ?? 0)));
    }
    return Math.max(0, ...pathsMs);
}
