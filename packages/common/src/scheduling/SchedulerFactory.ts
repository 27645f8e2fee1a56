import type { RandomSource } from "../random/RandomSource.js";
import type { LookupScheduler } from "./LookupScheduler.js";
import type { TaskScheduler } from "./TaskScheduler.js";

/** Creates the schedulers of a slice; another factory supplies another scheduling policy. */
export interface SchedulerFactory {
    createTaskScheduler(random: RandomSource): TaskScheduler;
    createLookupScheduler(random: RandomSource): LookupScheduler;
}
