import { createSeededRandom, type RandomSource } from "@skylarkpath/common/random/RandomSource";
import test from "ava";
import { addJob, createFleet } from "../testing/FleetFixture.js";
import { MAX_KINDS, RunTimeEstimator } from "./RunTimeEstimator.js";
import { MAX_OBSERVATIONS, RunTimeModel } from "./RunTimeModel.js";

/** Draws a factor around 1 with a standard deviation on a logarithmic scale. */
function drawFactor(random: RandomSource, deviation: number): number {
    return Math.exp(deviation * [...Array(12)].reduce<number>(sum => sum + random.next(), -6));
}

// An order by expected ends needs them closer than the caller's where those say little, and never worse by much.
for (const [estimateError, maxErrorShare] of [[0.2, 1.1], [0.9, 0.6]] as const) {
    test(`estimates off by ${estimateError}, 3 runs of 100 take 7 times as long: the error is at most ${maxErrorShare} of the callers'`, t => {
        const random = createSeededRandom(1);
        const model = new RunTimeModel();
        let [learntError, callersError, lateCount] = [0, 0, 0];
        for (let index = 0; index < 540; index++) {
            const usualMs = 3000 * drawFactor(random, 0.5);
            const estimateMs = usualMs * drawFactor(random, estimateError);
            const runTimesMs = [...Array(4)].map(() =>
                usualMs * drawFactor(random, 0.25) * (random.next() < 0.03 ? 7 : 1)
            );
            const { expectedMs, latestMs } = model.predict(estimateMs, index * 500);
            if (index >= 40) {
                learntError += Math.abs(Math.log(expectedMs / usualMs));
                callersError += Math.abs(Math.log(estimateMs / usualMs));
                lateCount += runTimesMs.filter(runTimeMs => runTimeMs > latestMs).length;
            }
            model.record(estimateMs, runTimesMs, index * 500);
        }
        t.true(learntError <= maxErrorShare * callersError, `${learntError / callersError}`);
        t.true(lateCount <= 200, `${lateCount} of 2000 runs took longer than the latest time`);
    });
}

test("a slow spell passes, and the memory is bounded", t => {
    const model = new RunTimeModel();
    for (let index = 0; index < 2 * MAX_OBSERVATIONS; index++) {
        model.record(1000, index < MAX_OBSERVATIONS ? [1900, 2000, 2100] : [900, 1000, 1100], index * 500);
        if (index % MAX_OBSERVATIONS === MAX_OBSERVATIONS - 1) {
            const usualMs = index < MAX_OBSERVATIONS ? 2000 : 1000;
            t.true(Math.abs(model.predict(1000, index * 500 + 500).expectedMs / usualMs - 1) < 0.1);
        }
    }
    t.deepEqual([model.count, model.residualCount], [MAX_OBSERVATIONS, MAX_OBSERVATIONS]);
});

test("gangs do not learn from the other steps of their queue, a new owner knows the estimates only, and kinds are bounded", t => {
    const estimator = new RunTimeEstimator();
    const { job, spec } = addJob(createFleet(), [{ estimateMs: 700 }]).findTask(0, 0, 0)!.step;
    for (let index = 0; index < 40; index++) {
        estimator.record({ job, spec }, [1400], index * 1000);
    }
    t.true(estimator.expectedMs({ job, spec }, 40_000) > 1200);
    t.is(estimator.expectedMs({ job, spec: { ...spec, gang: true } }, 40_000), 700);
    t.is(new RunTimeEstimator().expectedMs({ job, spec }, 40_000), 700);
    for (let index = 0; index < MAX_KINDS; index++) {
        Object.assign(job.spec, { queue: `queue-${index}` });
        estimator.record({ job, spec }, [1400], 40_000);
    }
    t.is(estimator.kindCount, MAX_KINDS);
});
