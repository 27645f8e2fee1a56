import type { JobSpec, StepSpec } from "./JobSpec.js";

/** Parses the stored form of a job; returns undefined when it is malformed. */
export function parseJobSpec(text: string): JobSpec | undefined {
    try {
        const value = JSON.parse(text) as Partial<JobSpec> | undefined;
        const isJob = isObject(value) && [value.id, value.queue, value.team, value.payload].every(isString)
            && isObject(value.schedule) && Array.isArray(value.steps) && value.steps.length > 0
            && (value.steps as readonly unknown[]).every(isStep);
        return isJob ? value as JobSpec : undefined;
    }
    catch {
        return undefined;
    }
}

function isStep(value: unknown): boolean {
    const step = value as Partial<StepSpec> | undefined;
    return isObject(step) && isObject(step.size) && typeof step.taskCount === "number" && step.taskCount >= 0
        && typeof step.estimateMs === "number" && Array.isArray(step.after);
}

function isObject(value: unknown): value is object {
    return typeof value === "object" && Boolean(value);
}

function isString(value: unknown): boolean {
    return typeof value === "string";
}
