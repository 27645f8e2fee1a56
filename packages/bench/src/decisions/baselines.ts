import { fitsInto } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { nextInteger } from "@skylarkpath/common/random/RandomSource";
import type { TaskScheduler } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import { QueueScheduler } from "./QueueScheduler.js";

/** Named way to create a scheduler to compare. */
export interface Contender {
    readonly name: string;
    readonly create: (random: RandomSource) => TaskScheduler;
}

const RANDOM_PROBES = 20;
const LOOK_AHEAD = 50;

/** The scheduler of the project. */
export const PROJECT_CONTENDER: Contender = { name: "skylarkpath", create: random => new SliceTaskScheduler(random) };

/** Schedulers to compare with. */
export const BASELINES: readonly Contender[] = [
    { name: "first come, first fit", create: createFirstFit },
    { name: "random worker", create: createRandomWorker },
    { name: "no backfill", create: random => new SliceTaskScheduler(random, { backfill: false }) }
];

function createFirstFit(): TaskScheduler {
    return new QueueScheduler({
        choose: (workers, demand) => workers.find(worker => fitsInto(demand, worker.free)),
        lookAhead: 0
    });
}

function createRandomWorker(random: RandomSource): TaskScheduler {
    return new QueueScheduler({
        choose: (workers, demand) => {
            for (let probe = 0; probe < RANDOM_PROBES; probe++) {
                const worker = workers[nextInteger(random, workers.length)]!;
                if (fitsInto(demand, worker.free)) {
                    return worker;
                }
            }
            return undefined;
        },
        lookAhead: LOOK_AHEAD
    });
}
