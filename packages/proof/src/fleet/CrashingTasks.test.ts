import { JobPhase, type JobSpec, type StepSpec } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

async function startDeployment(seed: number, workers = 6): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers, seed });
    await deployment.timer.advance(3000);
    return deployment;
}

/** Submits a job of which one task crashes each worker that starts it. */
async function submitCrashing(deployment: FleetDeployment, step: Partial<StepSpec>, index: number): Promise<JobSpec> {
    const job = deployment.createJob([step]);
    deployment.rules.crashingTasks.add(`${job.id}.0.0.${index}`);
    await deployment.timer.advanceUntil(deployment.submit(deployment.randomMachine(), job));
    return job;
}

test("a job fails after one of its tasks has crashed three workers, not ten", async t => {
    const deployment = await startDeployment(1);
    const job = await submitCrashing(deployment, { taskCount: 2, estimateMs: 1000 }, 0);
    t.is(await deployment.waitUntilFinal(job, 40_000), JobPhase.Failed);
    t.is(deployment.rules.crashCounts.get(`${job.id}.0.0.0`), 3);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a gang with one member that crashes workers fails as a whole", async t => {
    const deployment = await startDeployment(2);
    const size = { cpuMilli: 2000, memoryMb: 100, accelerators: 0 };
    const job = await submitCrashing(deployment, { taskCount: 5, gang: true, size, estimateMs: 1500 }, 3);
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Failed);
    t.is(deployment.rules.crashCounts.get(`${job.id}.0.0.3`), 3);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("crashes that an owner counted before it died count for its successors", async t => {
    const deployment = await startDeployment(3);
    const job = await submitCrashing(deployment, { estimateMs: 1000 }, 0);
    for (let crashCount = 1; crashCount <= 3; crashCount++) {
        while ((deployment.rules.crashCounts.get(`${job.id}.0.0.0`) ?? 0) < crashCount) {
            await deployment.timer.advance(20);
        }
        await deployment.timer.advance(2000);
        const machine = deployment.ownerMachine;
        deployment.killProcess(machine);
        deployment.timer.after(1000, () => deployment.startProcess(machine));
    }
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Failed);
    t.true(deployment.rules.crashCounts.get(`${job.id}.0.0.0`)! <= 4);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("crashes count when the workers come back under other ids", async t => {
    const deployment = await startDeployment(4);
    deployment.renamesCrashedWorkers = true;
    const job = await submitCrashing(deployment, { estimateMs: 1000 }, 0);
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Failed);
    t.is(deployment.rules.crashCounts.get(`${job.id}.0.0.0`), 3);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("jobs that share their workers with a task that crashes these complete", async t => {
    const deployment = await startDeployment(5);
    const size = { cpuMilli: 500, memoryMb: 100, accelerators: 0 };
    const others = Array.from({ length: 6 }, () => deployment.createJob([{ taskCount: 2, size, estimateMs: 4000 }]));
    for (const other of others) {
        await deployment.timer.advanceUntil(deployment.submit("m0", other));
    }
    const job = await submitCrashing(deployment, { estimateMs: 1000 }, 0);
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Failed);
    for (const other of others) {
        t.is(await deployment.waitUntilFinal(other, 30_000), JobPhase.Completed);
    }
    t.deepEqual(deployment.rules.allViolations(), []);
});
