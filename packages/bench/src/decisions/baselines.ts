import { fitsInto } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import { FifoScheduler } from "./FifoScheduler.js";

/** Scheduler in a comparison, with the name under which it is reported. */
export interface ComparedScheduler {
    readonly name: string;
    readonly create: (random: RandomSource) => TaskScheduler;
}

const MAX_RANDOM_PROBES = 20;
const MAX_SKIPPED_GROUPS = 50;

/** Scheduler of this project. */
export const PROJECT_SCHEDULER: ComparedScheduler = {
    name: "skylarkpath",
    create: random => new SliceTaskScheduler(random)
};

/** Schedulers that the project's scheduler is compared with. */
export const BASELINES: readonly ComparedScheduler[] = [
    { name: "first come, first fit", create: createFirstFit },
    { name: "random worker", create: createRandomWorker },
    { name: "no backfill", create: random => new SliceTaskScheduler(random, { backfill: false }) }
];

function createFirstFit(): TaskScheduler {
    return new FifoScheduler({
        selectWorker: (workers, demand) => workers.find(worker => fitsInto(demand, worker.free)),
        maxSkippedGroups: 0
    });
}

function createRandomWorker(random: RandomSource): TaskScheduler {
    return new FifoScheduler({
        selectWorker: (workers, demand) => {
            for (let probe = 0; probe < MAX_RANDOM_PROBES; probe++) {
                const worker = workers[nextInteger(random, workers.length)]!;
                if (fitsInto(demand, worker.free)) {
                    return worker;
                }
            }
            return undefined;
        },
        maxSkippedGroups: MAX_SKIPPED_GROUPS
    });
}
