import { JobPhase, type JobSpec } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;
const OUTAGE_MS = 4200;
/** Time within which ends are taken note of once the store is stable. */
const ACKNOWLEDGEMENT_MS = 5000;
const MAX_ENDS_PER_REPORT = 500;
const TASK_COUNT = 100;
/** A worker holds 800 tasks of this size. */
const TINY = { cpuMilli: 5, memoryMb: 10, accelerators: 0 };

interface Backlog {
    readonly deployment: FleetDeployment;
    readonly jobs: readonly JobSpec[];
}

/** Lets the store refuse all calls from when the first of many tiny tasks have ended. */
async function startBacklog(seed: number, failingJobs = 0): Promise<Backlog> {
    const deployment = new FleetDeployment({ processes: 3, workers: 2, seed });
    await deployment.timer.advance(SETTLE_MS);
    const step = { taskCount: TASK_COUNT, size: TINY, estimateMs: 400 };
    const jobs = Array.from({ length: 30 }, () => deployment.createJob([step]));
    jobs.slice(jobs.length - failingJobs).forEach(job => deployment.rules.failingJobs.add(job.id));
    for (const job of jobs) {
        void deployment.submit(deployment.randomMachine(), job);
    }
    while (deployment.rules.doneTasks.size < 100) {
        await deployment.timer.advance(10);
    }
    setStoreServes(deployment, false);
    return { deployment, jobs };
}

function setStoreServes(deployment: FleetDeployment, serves: boolean): void {
    for (const machine of deployment.processes.keys()) {
        if (serves) {
            deployment.store.faults.refusedMachines.delete(machine);
        }
        else {
            deployment.store.faults.refusedMachines.add(machine);
        }
    }
}

function unacknowledgedEnds(deployment: FleetDeployment): readonly number[] {
    return [...deployment.fleet.workers.values()].map(worker => worker.unacknowledgedEndCount);
}

// Guards against taking a run for gone when its end did not fit into the report, and starting its task again.
for (const seed of [41, 42, 43]) {
    test(`tasks that end while nothing can be committed run once, however many they are, seed ${seed}`, async t => {
        const { deployment, jobs } = await startBacklog(seed);
        const owner = deployment.ownerMachine;
        await deployment.timer.advance(OUTAGE_MS);
        const backlog = unacknowledgedEnds(deployment);
        t.true(backlog.every(count => count > MAX_ENDS_PER_REPORT), `${backlog.join(", ")} ends`);
        setStoreServes(deployment, true);
        await deployment.timer.advance(ACKNOWLEDGEMENT_MS);
        t.deepEqual(unacknowledgedEnds(deployment), [0, 0]);
        for (const job of jobs) {
            t.is(await deployment.waitUntilFinal(job, 1000), JobPhase.Completed);
        }
        t.is(deployment.ownerMachine, owner);
        t.is(deployment.rules.startCount, jobs.length * TASK_COUNT);
        t.deepEqual(deployment.rules.allViolations(), []);
    });

    test(`a successor that meets more ends than fit into a report starts none of their tasks again, seed ${seed}`, async t => {
        const { deployment, jobs } = await startBacklog(seed);
        const first = deployment.ownerMachine;
        await deployment.timer.advance(OUTAGE_MS / 2);
        deployment.killProcess(first);
        const backlog = unacknowledgedEnds(deployment);
        t.true(backlog.every(count => count > MAX_ENDS_PER_REPORT), `${backlog.join(", ")} ends`);
        await deployment.timer.advance(OUTAGE_MS / 2);
        setStoreServes(deployment, true);
        for (const job of jobs) {
            t.is(await deployment.waitUntilFinal(job, 20_000), JobPhase.Completed);
        }
        t.not(deployment.ownerMachine, first);
        t.is(deployment.rules.startCount, jobs.length * TASK_COUNT);
        t.deepEqual(deployment.rules.allViolations(), []);
    });
}

// Guards against more attempts than allowed, counted over ends that are not listed yet.
test("tasks that fail while nothing can be committed are not started more often than allowed", async t => {
    const { deployment, jobs } = await startBacklog(44, 8);
    await deployment.timer.advance(OUTAGE_MS);
    setStoreServes(deployment, true);
    // Workers on which tasks fail are avoided for some seconds.
    for (const job of jobs) {
        const isFailing = deployment.rules.failingJobs.has(job.id);
        t.is(await deployment.waitUntilFinal(job, 60_000), isFailing ? JobPhase.Failed : JobPhase.Completed);
    }
    t.deepEqual(deployment.rules.allViolations(), []);
});

// Guards against waiting for the ends of a worker that is lost before it has listed them.
test("the tasks of a worker whose leases end before it has listed all ends are started elsewhere", async t => {
    const { deployment, jobs } = await startBacklog(45);
    await deployment.timer.advance(OUTAGE_MS);
    t.true(unacknowledgedEnds(deployment).every(count => count > MAX_ENDS_PER_REPORT));
    deployment.fleet.faults.isolatedWorkers.add("w0");
    setStoreServes(deployment, true);
    for (const job of jobs) {
        t.is(await deployment.waitUntilFinal(job, 20_000), JobPhase.Completed);
    }
    deployment.fleet.faults.isolatedWorkers.clear();
    await deployment.timer.advance(ACKNOWLEDGEMENT_MS);
    t.deepEqual(unacknowledgedEnds(deployment), [0, 0]);
    t.deepEqual(deployment.rules.allViolations(), []);
});
