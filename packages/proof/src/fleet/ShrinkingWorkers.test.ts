import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SMALL_CAPACITY = { cpuMilli: 1000, memoryMb: 8000, accelerators: 0 };
const SIZE = { cpuMilli: 1000, memoryMb: 100, accelerators: 0 };

function shrink(deployment: FleetDeployment, id: string): void {
    const worker = deployment.fleet.workers.get(id)!;
    worker.shrink(SMALL_CAPACITY);
    deployment.updateDirectory({ ...worker.entry, capacity: SMALL_CAPACITY });
}

test("no start brings a shrunk worker over its capacity while the owner can't read the directory", async t => {
    const deployment = new FleetDeployment({ processes: 3, workers: 1, seed: 1 });
    await deployment.timer.advance(3000);
    deployment.store.faults.unreadableTables.add("workers");
    await deployment.timer.advance(1000);
    shrink(deployment, "w0");
    const jobs = Array.from({ length: 20 }, () => deployment.createJob([{ size: SIZE, estimateMs: 800 }]));
    for (const job of jobs) {
        void deployment.submit("m0", job);
        await deployment.timer.advance(400);
    }
    t.deepEqual(deployment.rules.allViolations(), []);
    deployment.store.faults.unreadableTables.clear();
    for (const job of jobs) {
        t.is(await deployment.waitUntilFinal(job, 30_000), JobPhase.Completed);
    }
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("no start brings a shrunk worker over its capacity while the store is down", async t => {
    const deployment = new FleetDeployment({ processes: 3, workers: 1, seed: 2 });
    await deployment.timer.advance(3000);
    const jobs = Array.from({ length: 20 }, () => deployment.createJob([{ size: SIZE, estimateMs: 900 }]));
    for (const job of jobs) {
        await deployment.timer.advanceUntil(deployment.submit("m0", job));
    }
    shrink(deployment, "w0");
    deployment.store.faults.down = true;
    await deployment.timer.advance(8000);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a task that is too large for its shrunk worker starts once the worker has grown again", async t => {
    const deployment = new FleetDeployment({ processes: 3, workers: 1, seed: 3 });
    await deployment.timer.advance(3000);
    const { entry } = deployment.fleet.workers.get("w0")!;
    deployment.updateDirectory({ ...entry, capacity: SMALL_CAPACITY });
    await deployment.timer.advance(2000);
    const job = deployment.createJob([{ size: { ...SIZE, cpuMilli: 3000 } }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    t.is(await deployment.waitUntilFinal(job, 4000), JobPhase.Queued);
    deployment.updateDirectory(entry);
    t.is(await deployment.waitUntilFinal(job, 8000), JobPhase.Completed);
});
