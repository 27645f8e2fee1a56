import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import type { LookupScheduler } from "@skylarkpath/common/scheduling/LookupScheduler";
import type { SchedulerFactory } from "@skylarkpath/common/scheduling/SchedulerFactory";
import type { TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceLookupScheduler } from "./SliceLookupScheduler.js";
import { SliceTaskScheduler } from "./SliceTaskScheduler.js";

/** Creates the default task and look-up schedulers of a slice. */
export class StandardSchedulerFactory implements SchedulerFactory {
    public createTaskScheduler(random: RandomSource): TaskScheduler {
        return new SliceTaskScheduler(random);
    }

    public createLookupScheduler(random: RandomSource): LookupScheduler {
        return new SliceLookupScheduler(random);
    }
}
