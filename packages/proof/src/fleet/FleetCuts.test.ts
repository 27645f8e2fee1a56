import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import type { KnownWorker } from "@skylarkpath/fleet/model/OwnerRow";
import { FLEET_PARTITION, FleetTable } from "@skylarkpath/fleet/model/Tables";
import { parseKnownWorkers } from "@skylarkpath/fleet/owner/KnownWorkerRows";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;

async function startDeployment(seed: number, workers = 4): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers, seed });
    await deployment.timer.advance(SETTLE_MS);
    return deployment;
}

test("the owner's row stays small in a fleet of 100 workers, and a successor learns the workers from rows of their own", async t => {
    const deployment = await startDeployment(24, 100);
    t.true(JSON.stringify(deployment.ownerRow).length < 500);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 8000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const worker = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
    deployment.updateDirectory(worker.entry.id);
    await deployment.timer.advance(1000);
    deployment.killProcess(deployment.ownerMachine);
    t.is(await deployment.waitUntilFinal(job, 20_000), JobPhase.Completed);
    t.is(deployment.rules.startCount, 1);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("an owner tells the states of jobs to the entries that follow them, and not to all", async t => {
    const deployment = new FleetDeployment({ processes: 20, workers: 10, seed: 25 });
    await deployment.timer.advance(SETTLE_MS);
    const jobs = Array.from({ length: 40 }, () => deployment.createJob([{ taskCount: 2 }]));
    for (const [number, job] of jobs.entries()) {
        await deployment.timer.advanceUntil(deployment.submit(`m${number % 20}`, job));
    }
    for (const job of jobs) {
        t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    }
    // Running and completed, to the entry that accepted the job and to those that were asked for it while it ran.
    t.true(deployment.toldStateCount <= jobs.length * 2 * 3, `${deployment.toldStateCount} states were told`);
});

test("an entry that did not accept a job and is asked for it tells its states, also after a change of the owner", async t => {
    const deployment = await startDeployment(26);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 4000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const others = ["m1", "m2"].filter(machine => machine !== deployment.ownerMachine);
    for (const machine of others) {
        t.is((await deployment.timer.advanceUntil(deployment.state(machine, job))).phase, JobPhase.Running);
    }
    deployment.killProcess(deployment.ownerMachine);
    await deployment.timer.advance(6000);
    for (const machine of deployment.processes.keys()) {
        t.is((await deployment.timer.advanceUntil(deployment.state(machine, job))).phase, JobPhase.Completed);
    }
});

test("no entry says that no job waits while a new owner has not loaded the jobs", async t => {
    const deployment = await startDeployment(27);
    const large = { cpuMilli: 100_000, memoryMb: 100, accelerators: 0 };
    await deployment.timer.advanceUntil(deployment.submit("m0", deployment.createJob([{ size: large }])));
    await deployment.timer.advance(1000);
    deployment.store.faults.answerMs = 150;
    deployment.killProcess(deployment.ownerMachine);
    const counts: (number | undefined)[] = [];
    for (let waitedMs = 0; waitedMs < 6000; waitedMs += 50) {
        await deployment.timer.advance(50);
        for (const machine of deployment.processes.keys()) {
            counts.push((await deployment.timer.advanceUntil(deployment.countWaiting(machine))).waiting);
        }
    }
    t.deepEqual([...new Set(counts.filter(count => count !== undefined))], [1]);
    t.is(counts.at(-1), 1);
});

test("a worker behind a cut that refuses connections runs on, and its tasks start nowhere else", async t => {
    const deployment = await startDeployment(28);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 5000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const worker = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
    deployment.fleet.faults.refusingWorkers.add(worker.entry.id);
    await deployment.timer.advance(3000);
    deployment.fleet.faults.refusingWorkers.clear();
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    t.is(deployment.rules.startCount, 1);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("the tasks of a worker that refuses connections for good start elsewhere once their leases have ended", async t => {
    const deployment = await startDeployment(29);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const worker = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
    deployment.fleet.faults.refusingWorkers.add(worker.entry.id);
    t.is(await deployment.waitUntilFinal(job, 15_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a port that refuses is no proof that an owner has ended: tasks that it may still start are waited for", async t => {
    const deployment = await startDeployment(30);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 60_000 }]);
    const first = deployment.ownerMachine;
    const other = [...deployment.processes.keys()].find(machine => machine !== first)!;
    await deployment.timer.advanceUntil(deployment.submit(other, job));
    await deployment.timer.advance(1000);
    const worker = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
    // The others can't reach the owner and this worker; the owner, which the store does not serve, reaches only that.
    deployment.store.faults.refusedMachines.add(first);
    deployment.refusingMachines.add(first);
    for (const machine of deployment.processes.keys()) {
        if (machine !== first) {
            deployment.fleet.faults.cutLinks.add(`${machine} ${worker.entry.id}`);
        }
    }
    for (const { entry } of deployment.fleet.workers.values()) {
        if (entry.id !== worker.entry.id) {
            deployment.fleet.faults.cutLinks.add(`${first} ${entry.id}`);
        }
    }
    await deployment.timer.advance(15_000);
    t.not(deployment.ownerMachine, first);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("states that an entry does not follow come from the owner; the store is asked only without one", async t => {
    const deployment = await startDeployment(31);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 3000 }]);
    const [first, other] = deployment.processes.keys();
    await deployment.timer.advanceUntil(deployment.submit(first!, job));
    await deployment.timer.advance(500);
    const reads = deployment.store.reads;
    t.is((await deployment.timer.advanceUntil(deployment.state(other!, job))).phase, JobPhase.Running);
    t.is(deployment.store.reads, reads);
    await deployment.timer.advance(4000);
    t.is((await deployment.timer.advanceUntil(deployment.state(other!, job))).phase, JobPhase.Completed);
    t.is(deployment.store.reads, reads);
});

/**
 * Waits until the fleet is taken over from an owner that the store does not serve, by a successor that reaches only one
 * worker; returns the successor, and an entry that tells the former owner of its jobs for a while.
 */
async function takeOver(deployment: FleetDeployment): Promise<{ readonly successor: string; readonly entry: string; }> {
    const first = deployment.ownerMachine;
    const [next, entry] = [...deployment.processes.keys()].filter(machine => machine !== first);
    deployment.store.faults.refusedMachines.add(first);
    const { epoch } = deployment.ownerRow!;
    for (const { entry: worker } of deployment.fleet.workers.values()) {
        [next, entry].forEach(machine => deployment.fleet.faults.cutLinks.add(`${machine} ${worker.id}`));
    }
    const spare = deployment.fleet.workers.get("w3")!.entry.id;
    [next, entry].forEach(machine => deployment.fleet.faults.cutLinks.delete(`${machine} ${spare}`));
    while (deployment.ownerRow!.epoch === epoch) {
        await deployment.timer.advance(1);
    }
    const successor = deployment.ownerMachine;
    return { successor, entry: successor === next ? entry! : next! };
}

function submitJobs(deployment: FleetDeployment, entry: string, estimateMs: number): void {
    const jobs = Array.from({ length: 12 }, () => deployment.createJob([{ taskCount: 1, estimateMs }]));
    jobs.forEach(job => void deployment.submit(entry, job));
}

test("a job that is accepted around a takeover, and reported to the former owner only, starts once", async t => {
    const deployment = await startDeployment(32);
    const { entry } = await takeOver(deployment);
    submitJobs(deployment, entry, 5000);
    await deployment.timer.advance(300);
    deployment.fleet.faults.cutLinks.clear();
    await deployment.timer.advance(8000);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a job that a former owner was told of waits for the workers that only this one reaches", async t => {
    const deployment = await startDeployment(33);
    const { successor, entry } = await takeOver(deployment);
    submitJobs(deployment, entry, 8000);
    await deployment.timer.advance(10);
    deployment.store.faults.refusedMachines.add(successor);
    await deployment.timer.advance(800);
    deployment.store.faults.refusedMachines.delete(successor);
    await deployment.timer.advance(1000);
    deployment.fleet.faults.cutLinks.clear();
    await deployment.timer.advance(12_000);
    t.deepEqual(deployment.rules.allViolations(), []);
    t.is(deployment.rules.startCount, 12);
});

test("a job that only the new owner is told of does not wait for workers that this one does not reach", async t => {
    const deployment = await startDeployment(32);
    const { entry } = await takeOver(deployment);
    await deployment.timer.advance(2000);
    submitJobs(deployment, entry, 300);
    await deployment.timer.advance(1500);
    t.is(deployment.rules.doneTasks.size, 12);
    t.deepEqual(deployment.rules.allViolations(), []);
});

for (const estimateMs of [300, 5000]) {
    test(`runs of ${estimateMs} ms of jobs that a successor learns of after its workers report them are not repeated`, async t => {
        for (const unservedMs of [600, 800, 1500]) {
            const deployment = await startDeployment(33);
            const { successor, entry } = await takeOver(deployment);
            await deployment.timer.advance(10);
            deployment.store.faults.refusedMachines.add(successor);
            submitJobs(deployment, entry, estimateMs);
            await deployment.timer.advance(300);
            t.true(deployment.rules.startCount > 0);
            deployment.fleet.faults.cutLinks.clear();
            await deployment.timer.advance(unservedMs - 300);
            deployment.store.faults.refusedMachines.delete(successor);
            await deployment.timer.advance(8000);
            t.deepEqual(deployment.rules.allViolations(), [], `the store serves the successor after ${unservedMs} ms`);
        }
    });
}

for (const isOwnerKilled of [false, true]) {
    const name = isOwnerKilled ? "a successor" : "the owner";
    test(`${name} waits for the leases of a draining worker that is cut off and that the directory has dropped`, async t => {
        const deployment = await startDeployment(34);
        const job = deployment.createJob([{ taskCount: 1, estimateMs: 8000 }]);
        await deployment.timer.advanceUntil(deployment.submit("m0", job));
        await deployment.timer.advance(500);
        const { entry } = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
        deployment.updateDirectory({ ...entry, draining: true });
        await deployment.timer.advance(1500);
        deployment.fleet.faults.isolatedWorkers.add(entry.id);
        deployment.updateDirectory(entry.id);
        if (isOwnerKilled) {
            await deployment.timer.advance(1000);
            deployment.killProcess(deployment.ownerMachine);
        }
        t.is(await deployment.waitUntilFinal(job, 30_000), JobPhase.Completed);
        t.deepEqual(deployment.rules.allViolations(), []);
    });
}

test("the tasks of a draining worker that has ended start elsewhere once its short leases have ended", async t => {
    const deployment = await startDeployment(35);
    const job = deployment.createJob([{ taskCount: 1, estimateMs: 8000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(500);
    const worker = [...deployment.fleet.workers.values()].find(each => each.running.size > 0)!;
    deployment.updateDirectory({ ...worker.entry, draining: true });
    await deployment.timer.advance(4000);
    worker.kill();
    deployment.updateDirectory(worker.entry.id);
    await deployment.timer.advance(4500);
    t.is(deployment.rules.startCount, 2);
    t.deepEqual(deployment.rules.allViolations(), []);
});

// Guards against starts that a successor can't find: it ran the task again while the first run went on.
test("a task on a worker that appeared just before the owner lost the store, and that the directory drops, runs once", async t => {
    const deployment = await startDeployment(36);
    const full = { cpuMilli: 4000, memoryMb: 100, accelerators: 0 };
    const blocking = deployment.createJob([{ taskCount: 4, size: full, estimateMs: 2500 }]);
    const waiting = deployment.createJob([{ taskCount: 1, size: full, estimateMs: 8000 }]);
    const first = deployment.ownerMachine;
    await deployment.timer.advanceUntil(deployment.submit(first, blocking));
    await deployment.timer.advance(500);
    await deployment.timer.advanceUntil(deployment.submit(first, waiting));
    await deployment.timer.advance(500);
    deployment.startWorker("w9");
    const endMs = deployment.timer.nowMs() + 1000;
    while (deployment.rules.startCount === 4 && deployment.timer.nowMs() < endMs) {
        await deployment.timer.advance(1);
    }
    deployment.store.faults.refusedMachines.add(first);
    deployment.updateDirectory("w9");
    await deployment.timer.advance(10_000);
    t.not(deployment.ownerMachine, first);
    t.deepEqual(deployment.rules.allViolations(), []);
    t.is(deployment.rules.startCount, 5);
});

function readKnownWorkers({ store }: FleetDeployment): readonly KnownWorker[] {
    const keys = Array.from({ length: 100 }, (...[, group]) => String(group).padStart(2, "0"));
    const rows = keys.map(key => store.get({ table: FleetTable.KnownWorkers, partition: FLEET_PARTITION, key }));
    return parseKnownWorkers(rows.filter(row => row !== undefined));
}

// Guards against orders to a worker, or to a restarted one, before the store names it.
test("every start is on an incarnation of a worker that a committed row names", async t => {
    const deployment = await startDeployment(37, 6);
    const unnamed: string[] = [];
    const { rules } = deployment;
    const recordStart = rules.recordStart.bind(rules);
    rules.recordStart = (task, run, worker) => {
        const { id, incarnation } = worker.entry;
        const isNamed = readKnownWorkers(deployment).some(known =>
            known.id === id && known.incarnation === incarnation
        );
        if (!isNamed) {
            unnamed.push(`${id} of ${incarnation} at ${deployment.timer.nowMs()} ms`);
        }
        recordStart(task, run, worker);
    };
    // All workers are full, so that a waiting task starts on each new one at once, while nothing else is written.
    const full = { cpuMilli: 4000, memoryMb: 100, accelerators: 0 };
    const job = deployment.createJob([{ taskCount: 24, size: full, estimateMs: 120_000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    for (let round = 0; round < 12; round++) {
        await deployment.timer.advance(500 + deployment.random.next() * 1000);
        deployment.startWorker(round % 4 === 0 ? `w${round % 6}` : `n${round}`);
        if (round === 6) {
            deployment.killProcess(deployment.ownerMachine);
            await deployment.timer.advance(10_000);
        }
    }
    await deployment.timer.advance(5000);
    t.is(rules.startCount, 6 + 12);
    t.deepEqual(unnamed, []);
    t.deepEqual(rules.allViolations(), []);
});

test("a worker that appears while nothing fails is given tasks before the owner's next periodic write", async t => {
    const deployment = await startDeployment(38, 1);
    const full = { cpuMilli: 4000, memoryMb: 100, accelerators: 0 };
    const job = deployment.createJob([{ taskCount: 6, size: full, estimateMs: 20_000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    for (let count = 1; count <= 5; count++) {
        await deployment.timer.advance(700 + 60 * count);
        deployment.startWorker(`n${count}`);
        await deployment.timer.advance(200);
        t.is(deployment.rules.startCount, 1 + count);
    }
});
