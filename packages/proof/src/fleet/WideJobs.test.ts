import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;
const TASK_COUNT = 8000;
/** A worker holds 800 tasks of this size. */
const TINY = { cpuMilli: 5, memoryMb: 10, accelerators: 0 };
const WIDE_STEP = { taskCount: TASK_COUNT, size: TINY, estimateMs: 4000, checkpointing: true };

async function startDeployment(seed: number): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers: 10, seed });
    await deployment.timer.advance(SETTLE_MS);
    return deployment;
}

// Guards against a progress row that the store refuses: owners replaced each other, and no end was taken note of.
test("a job of 8,000 tasks that checkpoint costs no owner its place, and other jobs go on", async t => {
    const deployment = await startDeployment(61);
    const { epoch } = deployment.ownerRow!;
    const wide = deployment.createJob([WIDE_STEP]);
    await deployment.timer.advanceUntil(deployment.submit("m0", wide));
    await deployment.timer.advance(1000);
    const other = deployment.createJob([{ taskCount: 2 }]);
    await deployment.timer.advanceUntil(deployment.submit("m1", other));
    t.is(await deployment.waitUntilFinal(other, 10_000), JobPhase.Completed);
    t.is(await deployment.waitUntilFinal(wide, 30_000), JobPhase.Completed);
    t.is(deployment.store.oversizedTransactions, 0);
    t.is(deployment.ownerRow!.epoch, epoch);
    t.is(deployment.rules.startCount, TASK_COUNT + 2);
    t.deepEqual(deployment.rules.allViolations(), []);
});

// Guards against the same row after thousands of failed runs, which must not be forgotten when the owner is lost.
test("the failures of a job of 8,000 tasks are stored in several rows, which a successor reads and removes", async t => {
    const deployment = await startDeployment(62);
    const { timer, rules, store } = deployment;
    deployment.putConfig({ queue: { maximumAttempts: 1000 } });
    const wide = deployment.createJob([WIDE_STEP]);
    rules.failingJobs.add(wide.id);
    await timer.advanceUntil(deployment.submit("m0", wide));
    const place = { table: "progress", partition: "fleet" };
    const hasSecondRow = (): boolean => store.get({ ...place, key: `${wide.id}/1` }) !== undefined;
    while (!hasSecondRow() && timer.nowMs() < 60_000) {
        await timer.advance(100);
    }
    t.true(hasSecondRow());
    const { epoch } = deployment.ownerRow!;
    deployment.killProcess(deployment.ownerMachine);
    rules.failingJobs.clear();
    t.is(await deployment.waitUntilFinal(wide, 90_000), JobPhase.Completed);
    t.is(store.oversizedTransactions, 0);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.false(store.get({ ...place, key: wide.id }) !== undefined || hasSecondRow());
    t.deepEqual(rules.violations, []);
});
