import { Emitter } from "@skylarkpath/common/base/Emitter";
import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { orderSteps } from "../placement/StepOrder.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import type { ObservedStep } from "./RunObserver.js";
import { RunPredictions } from "./RunPredictions.js";

const SLOTS = 4;
const JOBS = 600;
/** Work that arrives, as a multiple of what the slots can run. */
const LOAD = 1.25;

/** Plays an overload with estimates off by up to ten times; returns the number of jobs done within their objective. */
async function countInTime(seed: number, learning: boolean): Promise<number> {
    const random = createSeededRandom(seed);
    const timer = new VirtualTimer();
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const observed = new Emitter<ObservedStep>();
    if (learning) {
        new RunPredictions(fleet, observed.event, timer, SILENT_LOG);
    }
    const runTimesMs = new Map<string, number>();
    const [queue] = PLAIN_CONFIG.queues;
    let [freeSlots, inTime] = [SLOTS, 0];
    const startNext = (): void => {
        for (const { step } of freeSlots > 0 ? orderSteps(fleet, timer.nowMs()).slice(0, freeSlots) : []) {
            const { job } = step;
            const runTimeMs = runTimesMs.get(job.spec.id)!;
            fleet.jobs.delete(job.spec.id);
            freeSlots--;
            timer.after(runTimeMs, () => {
                freeSlots++;
                const objectiveMs = queue!.stretchFactor * runTimeMs + queue!.targetLatencyMs;
                inTime += timer.nowMs() - job.acceptedAtMs <= objectiveMs ? 1 : 0;
                observed.fire({ step, runs: [{ worker, runTimeMs }] });
                startNext();
            });
        }
    };
    for (let index = 0; index < JOBS; index++) {
        const runTimeMs = 400 + 1200 * random.next();
        const id = index.toString(16).padStart(16, "0");
        const job = addJob(fleet, [{ estimateMs: runTimeMs * 10 ** (2 * random.next() - 1) }], id);
        Object.assign(job, { acceptedAtMs: timer.nowMs() });
        runTimesMs.set(id, runTimeMs);
        startNext();
        await timer.advance(1000 / SLOTS / LOAD);
    }
    return inTime;
}

// By an expected duration that is exceeded half of the time, half of the jobs that just seem to be in time are late.
for (const seed of [1, 2, 3]) {
    test(`under overload, 95 % of what the slots can run ends in time, and more than by the estimates, seed ${seed}`, async t => {
        const [byEstimates, learnt] = [await countInTime(seed, false), await countInTime(seed, true)];
        t.log(`${byEstimates} by estimates, ${learnt} learnt, of ${JOBS}`);
        t.true(learnt >= 0.95 * JOBS / LOAD && learnt > byEstimates);
    });
}
