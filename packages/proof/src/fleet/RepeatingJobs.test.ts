import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;
const PERIOD_MS = 60_000;
const DAY_MS = 24 * 3_600_000;
const OCCURRENCES = 60;
const TASK_COUNT = 60;
/** Eight occurrences of a job with a step of these are open at a time, and all their tasks run. */
const SMALL_TASKS = { taskCount: TASK_COUNT, size: { cpuMilli: 20, memoryMb: 10, accelerators: 0 }, estimateMs: 300 };

async function startDeployment(seed: number): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers: 8, seed });
    await deployment.timer.advance(SETTLE_MS);
    return deployment;
}

// Guards against an owner that opens all occurrences at once, runs out of memory or writes rows that the store refuses.
for (const days of [30, 90]) {
    test(`a job that repeats each minute, with a start ${days} days back, costs no owner its place, nor other jobs`, async t => {
        const deployment = await startDeployment(51);
        const { epoch } = deployment.ownerRow!;
        const firstStartMs = deployment.timer.wallClockMs() - days * DAY_MS;
        const repeating = deployment.createJob([{ taskCount: 2, estimateMs: 800 }], undefined, {
            firstStartMs,
            periodMs: PERIOD_MS,
            occurrences: 2_000_000
        });
        await deployment.timer.advanceUntil(deployment.submit("m0", repeating));
        const others = [];
        for (let count = 0; count < 10; count++) {
            await deployment.timer.advance(500);
            const job = deployment.createJob([{ taskCount: 2, estimateMs: 800 }]);
            others.push(job);
            await deployment.timer.advanceUntil(deployment.submit("m1", job));
        }
        await deployment.timer.advance(20_000);
        for (const job of others) {
            t.is(await deployment.waitUntilFinal(job, 1000), JobPhase.Completed);
        }
        t.is(deployment.ownerRow!.epoch, epoch);
        t.is(deployment.store.oversizedTransactions, 0);
        t.true(deployment.rules.doneTasks.size > 200, `${deployment.rules.doneTasks.size} tasks are done`);
        t.deepEqual(deployment.rules.allViolations(), []);
    });
}

// Guards against a successor that does not know the occurrences that its predecessor had opened.
for (const seed of [52, 53, 54, 55]) {
    test(`each occurrence runs once while owners are lost and the store fails, seed ${seed}`, async t => {
        const deployment = await startDeployment(seed);
        const { timer, rules, random, store } = deployment;
        const job = deployment.createJob([SMALL_TASKS, { after: [0], estimateMs: 300 }], undefined, {
            firstStartMs: timer.wallClockMs() - OCCURRENCES * 1000,
            periodMs: 1000,
            occurrences: OCCURRENCES
        });
        await timer.advanceUntil(deployment.submit("m0", job));
        for (let round = 0; round < 3; round++) {
            await timer.advance(1000 + random.next() * 1500);
            const machine = deployment.ownerMachine;
            store.faults.refusedMachines.add(machine);
            await timer.advance(random.next() * 1500);
            deployment.killProcess(machine);
            await timer.advance(random.next() * 500);
            store.faults.refusedMachines.delete(machine);
            deployment.startProcess(machine);
        }
        t.is(await deployment.waitUntilFinal(job, 120_000), JobPhase.Completed);
        t.is(rules.doneTasks.size, OCCURRENCES * (TASK_COUNT + 1));
        t.is(store.oversizedTransactions, 0);
        t.deepEqual(rules.allViolations(), []);
    });
}
