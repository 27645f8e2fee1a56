import { ReplyKind } from "@skylarkpath/fleet/entry/EntryTypes";
import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;

async function begin(seed: number, workers = 4): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers, seed });
    await deployment.timer.advance(SETTLE_MS);
    return deployment;
}

test("a job of two steps is done once, in order, and every entry shows it as completed", async t => {
    const deployment = await begin(1);
    const job = deployment.describeJob([{ taskCount: 3 }, { taskCount: 2, after: [0] }]);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", job));
    t.is(reply.kind, ReplyKind.Accepted);
    t.is(await deployment.untilFinal(job, 10_000), JobPhase.Completed);
    await deployment.timer.advance(1000);
    for (const machine of deployment.processes.keys()) {
        const state = await deployment.timer.advanceUntil(deployment.state(machine, job));
        t.is(state.phase, JobPhase.Completed);
    }
    t.deepEqual(deployment.rules.finish(), []);
    t.is(deployment.rules.starts, 5);
});

test("the same id again, at another entry, is the same job", async t => {
    const deployment = await begin(2);
    const job = deployment.describeJob([{ taskCount: 2 }]);
    const both = await deployment.timer.advanceUntil(
        Promise.all([deployment.submit("m0", job), deployment.submit("m1", job)])
    );
    t.deepEqual(both.map(each => each.reply.kind), [ReplyKind.Accepted, ReplyKind.Accepted]);
    t.is(await deployment.untilFinal(job, 10_000), JobPhase.Completed);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m2", job));
    t.is(reply.kind, ReplyKind.Accepted);
    await deployment.timer.advance(3000);
    t.is(deployment.rules.starts, 2);
});

test("a gang starts as a whole and a failed member ends the run of all", async t => {
    const deployment = await begin(3);
    const job = deployment.describeJob([{
        taskCount: 6,
        gang: true,
        size: { cpuMilli: 2000, memoryMb: 1, accelerators: 0 }
    }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    t.is(await deployment.untilFinal(job, 10_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("a job that always fails is shown as failed after its attempts, and condemns no worker", async t => {
    const deployment = await begin(4);
    const hopeless = deployment.describeJob([{ taskCount: 1 }]);
    deployment.rules.hopelessJobs.add(hopeless.id);
    await deployment.timer.advanceUntil(deployment.submit("m0", hopeless));
    t.is(await deployment.untilFinal(hopeless, 20_000), JobPhase.Failed);
    t.is(deployment.rules.starts, 3);
    const sound = deployment.describeJob([{ taskCount: 30 }]);
    await deployment.timer.advanceUntil(deployment.submit("m1", sound));
    t.is(await deployment.untilFinal(sound, 10_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("after the owner's death another process adopts what runs and starts nothing twice", async t => {
    const deployment = await begin(5);
    const job = deployment.describeJob([{ taskCount: 8, estimateMs: 6000 }, { taskCount: 2, after: [0] }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(2000);
    const first = deployment.ownerMachine;
    deployment.killProcess(first);
    t.is(await deployment.untilFinal(job, 30_000), JobPhase.Completed);
    t.not(deployment.ownerMachine, first);
    t.is(deployment.rules.starts, 10);
    t.deepEqual(deployment.rules.finish(), []);
});

test("all processes die right after an acceptance: the job is kept and done", async t => {
    const deployment = await begin(6);
    const job = deployment.describeJob([{ taskCount: 4 }]);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m1", job));
    t.is(reply.kind, ReplyKind.Accepted);
    for (const machine of ["m0", "m1", "m2"]) {
        deployment.killProcess(machine);
    }
    await deployment.timer.advance(1000);
    for (const machine of ["m0", "m1", "m2"]) {
        deployment.startProcess(machine);
    }
    t.is(await deployment.untilFinal(job, 30_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("a graceful stop of the owner hands the fleet over within half a second", async t => {
    const deployment = await begin(7);
    const job = deployment.describeJob([{ taskCount: 8, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const { epoch } = deployment.ownerRow!;
    await deployment.stopProcess(deployment.ownerMachine);
    await deployment.timer.advance(500);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.is(await deployment.untilFinal(job, 10_000), JobPhase.Completed);
    t.is(deployment.rules.starts, 8);
});

test("an owner that the store refuses is followed by one that the store serves", async t => {
    const deployment = await begin(8);
    const first = deployment.ownerMachine;
    deployment.store.faults.refusedMachines.add(first);
    await deployment.timer.advance(5000);
    t.not(deployment.ownerMachine, first);
    const job = deployment.describeJob([{ taskCount: 4 }]);
    const machine = [...deployment.processes.keys()].find(each => each !== first)!;
    await deployment.timer.advanceUntil(deployment.submit(machine, job));
    deployment.store.faults.refusedMachines.clear();
    t.is(await deployment.untilFinal(job, 20_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("while the store is down callers are told when to come back, and running tasks go on", async t => {
    const deployment = await begin(9);
    const running = deployment.describeJob([{ taskCount: 4, estimateMs: 4000 }, { taskCount: 4, after: [0] }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", running));
    await deployment.timer.advance(500);
    const { epoch } = deployment.ownerRow!;
    deployment.store.faults.down = true;
    await deployment.timer.advance(1500);
    const refusedJob = deployment.describeJob([{}]);
    const refused = deployment.submit("m1", refusedJob);
    const { reply } = await deployment.timer.advanceUntil(refused, 5000);
    t.true([ReplyKind.NotNow, ReplyKind.Unsettled].includes(reply.kind));
    await deployment.timer.advance(4000);
    deployment.store.faults.down = false;
    t.is(await deployment.untilFinal(running, 15_000), JobPhase.Completed);
    t.is(deployment.ownerRow!.epoch, epoch);
    t.deepEqual(deployment.rules.finish(), []);
});

test("a cancel ends a running job at every entry, and its tasks are stopped", async t => {
    const deployment = await begin(10);
    const job = deployment.describeJob([{ taskCount: 4, estimateMs: 60_000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const reply = await deployment.timer.advanceUntil(deployment.cancel("m2", job));
    t.is(reply.kind, ReplyKind.Cancelled);
    t.is(await deployment.untilFinal(job, 5000), JobPhase.Cancelled);
    await deployment.timer.advance(1000);
    const running = [...deployment.fleet.workers.values()].reduce((sum, worker) => sum + worker.running.size, 0);
    t.is(running, 0);
});

test("a key that was taken away stops working, and an entry without the store admits nobody for long", async t => {
    const deployment = await begin(11);
    deployment.putConfig({ team: { keys: ["another"] } });
    await deployment.timer.advance(1000);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", deployment.describeJob([{}])));
    t.is(reply.kind, ReplyKind.UnknownKey);
    deployment.putConfig({});
    await deployment.timer.advance(1000);
    deployment.store.faults.cutMachines.add("m0");
    await deployment.timer.advance(5000);
    const late = await deployment.timer.advanceUntil(deployment.submit("m0", deployment.describeJob([{}])));
    t.is(late.reply.kind, ReplyKind.NotNow);
    t.false(deployment.processes.get("m0")!.process.ready);
});

test("tasks of a worker that dies run elsewhere, and a worker that lives again is used", async t => {
    const deployment = await begin(12, 2);
    const job = deployment.describeJob([{ taskCount: 16, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    deployment.fleet.workers.get("w0")!.kill();
    deployment.listWorker("w0");
    await deployment.timer.advance(3000);
    deployment.startWorker("w0");
    t.is(await deployment.untilFinal(job, 30_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("tasks on a worker that is cut off are started elsewhere only when its leases have ended", async t => {
    const deployment = await begin(13, 2);
    const job = deployment.describeJob([{ taskCount: 4, estimateMs: 9000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const cut = [...deployment.fleet.workers.values()].find(worker => worker.running.size > 0)!.entry.id;
    deployment.fleet.faults.cutWorkers.add(cut);
    t.is(await deployment.untilFinal(job, 60_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("a team's upper limit holds while the owner changes", async t => {
    const deployment = await begin(14);
    deployment.putConfig({ team: { limit: { cpuMilli: 3000, memoryMb: 0, accelerators: 0 } } });
    deployment.rules.cpuLimitByTeam.set("lab", 3000);
    await deployment.timer.advance(500);
    const job = deployment.describeJob([{ taskCount: 20, estimateMs: 1500 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    deployment.killProcess(deployment.ownerMachine);
    t.is(await deployment.untilFinal(job, 60_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.finish(), []);
});

test("a job that is cancelled before its submission arrives never starts", async t => {
    const deployment = await begin(15);
    const job = deployment.describeJob([{ taskCount: 2 }]);
    const cancelled = await deployment.timer.advanceUntil(deployment.cancel("m1", job));
    t.is(cancelled.kind, ReplyKind.UnknownJob);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(3000);
    t.is(deployment.rules.starts, 0);
    const state = await deployment.timer.advanceUntil(deployment.state("m2", job));
    t.is(state.phase, JobPhase.Cancelled);
});

test("a job that was refused never starts, also when the store is back", async t => {
    const deployment = await begin(16);
    deployment.store.faults.down = true;
    await deployment.timer.advance(200);
    const replies: ReplyKind[] = [];
    const jobs = [...Array(6).keys()].map(() => deployment.describeJob([{}]));
    for (const job of jobs) {
        const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", job), 5000);
        replies.push(reply.kind);
    }
    deployment.store.faults.down = false;
    await deployment.timer.advance(10_000);
    for (const [index, job] of jobs.entries()) {
        if (replies[index] === ReplyKind.NotNow) {
            const state = await deployment.timer.advanceUntil(deployment.state("m1", job));
            t.is(state.kind, ReplyKind.UnknownJob);
        }
    }
    t.true(replies.includes(ReplyKind.NotNow));
    t.is(deployment.rules.starts, 0);
});

test("a leaving worker gets no further task, and those that run there end there", async t => {
    const deployment = await begin(17, 2);
    const leaving = deployment.fleet.workers.get("w0")!;
    const first = deployment.describeJob([{ taskCount: 16, estimateMs: 2000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", first));
    await deployment.timer.advance(500);
    t.true(leaving.running.size > 0);
    deployment.listWorker({ ...leaving.entry, draining: true });
    await deployment.timer.advance(500);
    const before = [...leaving.running.keys()];
    const second = deployment.describeJob([{ taskCount: 12, estimateMs: 500 }]);
    await deployment.timer.advanceUntil(deployment.submit("m1", second));
    t.is(await deployment.untilFinal(second, 10_000), JobPhase.Completed);
    t.deepEqual([...leaving.running.keys()].filter(task => !before.includes(task)), []);
    t.is(await deployment.untilFinal(first, 10_000), JobPhase.Completed);
    t.is(deployment.rules.starts, 28);
});

test("replies of the store that are lost or come late double no job", async t => {
    const deployment = await begin(18);
    deployment.store.faults.lostReplyShare = 0.4;
    deployment.store.faults.lateShare = 0.2;
    const accepted = [];
    for (let number = 0; number < 10; number++) {
        const job = deployment.describeJob([{ taskCount: 2 }]);
        const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", job), 8000);
        if (reply.kind === ReplyKind.Accepted) {
            accepted.push(job);
        }
    }
    deployment.store.faults.lostReplyShare = 0;
    deployment.store.faults.lateShare = 0;
    for (const job of accepted) {
        t.is(await deployment.untilFinal(job, 20_000), JobPhase.Completed);
    }
    t.true(accepted.length > 0);
    t.deepEqual(deployment.rules.finish(), []);
});

test("an owner on a slow machine hands the fleet over, and a slow entry does not take it", async t => {
    const deployment = await begin(19);
    await deployment.timer.advance(3000);
    const first = deployment.ownerMachine;
    const [fast, slow] = [...deployment.processes.keys()].filter(machine => machine !== first);
    const { epoch } = deployment.ownerRow!;
    const job = deployment.describeJob([{ taskCount: 8, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit(fast!, job));
    await deployment.timer.advance(200);
    deployment.slowProcess(slow!, 150);
    deployment.slowProcess(first, 200);
    await deployment.timer.advance(2500);
    t.is(deployment.ownerMachine, fast);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.is(await deployment.untilFinal(job, 10_000), JobPhase.Completed);
    t.is(deployment.rules.starts, 8);
    t.deepEqual(deployment.rules.finish(), []);
});

test("an owner that is no slower than the others keeps the fleet", async t => {
    const deployment = await begin(20);
    await deployment.timer.advance(3000);
    const { epoch } = deployment.ownerRow!;
    for (const machine of deployment.processes.keys()) {
        deployment.slowProcess(machine, 150);
    }
    await deployment.timer.advance(8000);
    t.is(deployment.ownerRow!.epoch, epoch);
});

test("an owner that stands still is followed within two seconds", async t => {
    const deployment = await begin(21);
    const first = deployment.ownerMachine;
    deployment.store.faults.cutMachines.add(first);
    deployment.cutPeers.add(first);
    await deployment.timer.advance(2000);
    t.not(deployment.ownerMachine, first);
});

test("a process that stops is not named as the heir of an owner that stops after it", async t => {
    const deployment = await begin(22);
    const first = deployment.ownerMachine;
    const others = [...deployment.processes.keys()].filter(machine => machine !== first);
    const { epoch } = deployment.ownerRow!;
    for (const stopping of others.slice(0, 1)) {
        await deployment.timer.advanceUntil(deployment.processes.get(stopping)!.process.drain(1500), 5000);
    }
    await deployment.timer.advance(1000);
    await deployment.timer.advanceUntil(deployment.processes.get(first)!.process.drain(1500), 5000);
    t.is(deployment.ownerRow!.heir?.split("/")[0], others[1]);
    await deployment.timer.advance(200);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.is(deployment.ownerMachine, others[1]);
});
