import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import test from "ava";
import { addWorker, createFleet } from "../testing/FleetFixture.js";
import { MAX_RUNS_PER_WORKER, WorkerSpeedEstimator } from "./WorkerSpeedEstimator.js";

/** Class of a factor, in steps of 10 %. */
function speedClass(factor: number): number {
    return Math.round(Math.log(factor) / 0.1);
}

// Of 100 runs, 3 take 7 times as long, and the others between 0.7 and 1.3 times the usual.
test("after 16 runs a worker that is one third slower is told apart, 95 times of 100 in spite of the tail", t => {
    let toldApart = 0;
    for (let seed = 1; seed <= 100; seed++) {
        const random = createSeededRandom(seed);
        const estimator = new WorkerSpeedEstimator();
        const [slow, usual] = [4 / 3, 1].map((factor, index) => {
            const worker = addWorker(createFleet(), `w${index}`);
            for (let run = 0; run < MAX_RUNS_PER_WORKER; run++) {
                const ratio = (0.7 + 0.6 * random.next()) * (random.next() < 0.03 ? 7 : 1);
                estimator.record(worker, ratio * factor, run * 1000);
            }
            return speedClass(estimator.runTimeFactorOf(worker, MAX_RUNS_PER_WORKER * 1000));
        });
        toldApart += slow! > usual! ? 1 : 0;
    }
    t.true(toldApart >= 95, `${toldApart}`);
});

test("a slow worker that gets no more runs is tried again, and one that was born again starts anew", t => {
    const estimator = new WorkerSpeedEstimator();
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    for (let index = 0; index < 100; index++) {
        estimator.record(worker, 2, index * 1000);
    }
    t.true(speedClass(estimator.runTimeFactorOf(worker, 100_000)) > 0);
    t.is(speedClass(estimator.runTimeFactorOf(worker, 600_000)), 0);
    t.is(estimator.runTimeFactorOf(addWorker(fleet, "w1", { incarnation: 2 }), 100_000), 1);
});
