import { ReplyKind } from "@skylarkpath/fleet/entry/EntryTypes";
import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

const SETTLE_MS = 3000;

async function startDeployment(seed: number, workers = 4): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers, seed });
    await deployment.timer.advance(SETTLE_MS);
    return deployment;
}

test("the steps of a job run once and in order, and every entry reports it as completed", async t => {
    const deployment = await startDeployment(1);
    const job = deployment.createJob([{ taskCount: 3 }, { taskCount: 2, after: [0] }]);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", job));
    t.is(reply.kind, ReplyKind.Accepted);
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    await deployment.timer.advance(1000);
    for (const machine of deployment.processes.keys()) {
        const state = await deployment.timer.advanceUntil(deployment.state(machine, job));
        t.is(state.phase, JobPhase.Completed);
    }
    t.deepEqual(deployment.rules.allViolations(), []);
    t.is(deployment.rules.startCount, 5);
});

test("submitting the same id at another entry does not create a second job", async t => {
    const deployment = await startDeployment(2);
    const job = deployment.createJob([{ taskCount: 2 }]);
    const both = await deployment.timer.advanceUntil(
        Promise.all([deployment.submit("m0", job), deployment.submit("m1", job)])
    );
    t.deepEqual(both.map(each => each.reply.kind), [ReplyKind.Accepted, ReplyKind.Accepted]);
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m2", job));
    t.is(reply.kind, ReplyKind.Accepted);
    await deployment.timer.advance(3000);
    t.is(deployment.rules.startCount, 2);
});

test("a gang runs to completion with all of its members present", async t => {
    const deployment = await startDeployment(3);
    const job = deployment.createJob([{
        taskCount: 6,
        gang: true,
        size: { cpuMilli: 2000, memoryMb: 1, accelerators: 0 }
    }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a job that always fails is reported as failed after its last attempt, and its worker stays in use", async t => {
    const deployment = await startDeployment(4);
    const failingJob = deployment.createJob([{ taskCount: 1 }]);
    deployment.rules.failingJobs.add(failingJob.id);
    await deployment.timer.advanceUntil(deployment.submit("m0", failingJob));
    t.is(await deployment.waitUntilFinal(failingJob, 20_000), JobPhase.Failed);
    t.is(deployment.rules.startCount, 3);
    const normalJob = deployment.createJob([{ taskCount: 30 }]);
    await deployment.timer.advanceUntil(deployment.submit("m1", normalJob));
    t.is(await deployment.waitUntilFinal(normalJob, 10_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("after the owner is killed, another process adopts the running tasks and starts none twice", async t => {
    const deployment = await startDeployment(5);
    const job = deployment.createJob([{ taskCount: 8, estimateMs: 6000 }, { taskCount: 2, after: [0] }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(2000);
    const first = deployment.ownerMachine;
    deployment.killProcess(first);
    t.is(await deployment.waitUntilFinal(job, 30_000), JobPhase.Completed);
    t.not(deployment.ownerMachine, first);
    t.is(deployment.rules.startCount, 10);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("an accepted job completes although all processes are killed right after the acceptance", async t => {
    const deployment = await startDeployment(6);
    const job = deployment.createJob([{ taskCount: 4 }]);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m1", job));
    t.is(reply.kind, ReplyKind.Accepted);
    for (const machine of ["m0", "m1", "m2"]) {
        deployment.killProcess(machine);
    }
    await deployment.timer.advance(1000);
    for (const machine of ["m0", "m1", "m2"]) {
        deployment.startProcess(machine);
    }
    t.is(await deployment.waitUntilFinal(job, 30_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a graceful stop of the owner hands ownership over within half a second", async t => {
    const deployment = await startDeployment(7);
    const job = deployment.createJob([{ taskCount: 8, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const { epoch } = deployment.ownerRow!;
    await deployment.stopProcess(deployment.ownerMachine);
    await deployment.timer.advance(500);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    t.is(deployment.rules.startCount, 8);
});

test("an owner that the store refuses is replaced by a process that the store serves", async t => {
    const deployment = await startDeployment(8);
    const first = deployment.ownerMachine;
    deployment.store.faults.refusedMachines.add(first);
    await deployment.timer.advance(5000);
    t.not(deployment.ownerMachine, first);
    const job = deployment.createJob([{ taskCount: 4 }]);
    const machine = [...deployment.processes.keys()].find(each => each !== first)!;
    await deployment.timer.advanceUntil(deployment.submit(machine, job));
    deployment.store.faults.refusedMachines.clear();
    t.is(await deployment.waitUntilFinal(job, 20_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("while the store is down, new jobs are not accepted and running tasks continue", async t => {
    const deployment = await startDeployment(9);
    const running = deployment.createJob([{ taskCount: 4, estimateMs: 4000 }, { taskCount: 4, after: [0] }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", running));
    await deployment.timer.advance(500);
    const { epoch } = deployment.ownerRow!;
    deployment.store.faults.down = true;
    await deployment.timer.advance(1500);
    const refusedJob = deployment.createJob([{}]);
    const refused = deployment.submit("m1", refusedJob);
    const { reply } = await deployment.timer.advanceUntil(refused, 5000);
    t.true([ReplyKind.NotNow, ReplyKind.Uncertain].includes(reply.kind));
    await deployment.timer.advance(4000);
    deployment.store.faults.down = false;
    t.is(await deployment.waitUntilFinal(running, 15_000), JobPhase.Completed);
    t.is(deployment.ownerRow!.epoch, epoch);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a running job can be cancelled at another entry, and its tasks are stopped", async t => {
    const deployment = await startDeployment(10);
    const job = deployment.createJob([{ taskCount: 4, estimateMs: 60_000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const reply = await deployment.timer.advanceUntil(deployment.cancel("m2", job));
    t.is(reply.kind, ReplyKind.Cancelled);
    t.is(await deployment.waitUntilFinal(job, 5000), JobPhase.Cancelled);
    await deployment.timer.advance(1000);
    const running = [...deployment.fleet.workers.values()].reduce((sum, worker) => sum + worker.running.size, 0);
    t.is(running, 0);
});

test("a removed key is refused, and an entry that is cut off from the store stops accepting requests", async t => {
    const deployment = await startDeployment(11);
    deployment.putConfig({ team: { keys: ["another"] } });
    await deployment.timer.advance(1000);
    const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", deployment.createJob([{}])));
    t.is(reply.kind, ReplyKind.UnknownKey);
    deployment.putConfig({});
    await deployment.timer.advance(1000);
    deployment.store.faults.isolatedMachines.add("m0");
    await deployment.timer.advance(5000);
    const late = await deployment.timer.advanceUntil(deployment.submit("m0", deployment.createJob([{}])));
    t.is(late.reply.kind, ReplyKind.NotNow);
    t.false(deployment.processes.get("m0")!.process.ready);
});

test("a job completes although one of its workers is killed and restarted", async t => {
    const deployment = await startDeployment(12, 2);
    const job = deployment.createJob([{ taskCount: 16, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    deployment.fleet.workers.get("w0")!.kill();
    deployment.updateDirectory("w0");
    await deployment.timer.advance(3000);
    deployment.startWorker("w0");
    t.is(await deployment.waitUntilFinal(job, 30_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("tasks of a worker that is cut off start elsewhere only after their leases have expired", async t => {
    const deployment = await startDeployment(13, 2);
    const job = deployment.createJob([{ taskCount: 4, estimateMs: 9000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    const cut = [...deployment.fleet.workers.values()].find(worker => worker.running.size > 0)!.entry.id;
    deployment.fleet.faults.isolatedWorkers.add(cut);
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a team's limit is enforced across a change of the owner", async t => {
    const deployment = await startDeployment(14);
    deployment.putConfig({ team: { limit: { cpuMilli: 3000, memoryMb: 0, accelerators: 0 } } });
    deployment.rules.cpuLimitByTeam.set("lab", 3000);
    await deployment.timer.advance(500);
    const job = deployment.createJob([{ taskCount: 20, estimateMs: 1500 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(1000);
    deployment.killProcess(deployment.ownerMachine);
    t.is(await deployment.waitUntilFinal(job, 60_000), JobPhase.Completed);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("a job that is cancelled before its submission arrives never starts", async t => {
    const deployment = await startDeployment(15);
    const job = deployment.createJob([{ taskCount: 2 }]);
    const cancelled = await deployment.timer.advanceUntil(deployment.cancel("m1", job));
    t.is(cancelled.kind, ReplyKind.UnknownJob);
    await deployment.timer.advanceUntil(deployment.submit("m0", job));
    await deployment.timer.advance(3000);
    t.is(deployment.rules.startCount, 0);
    const state = await deployment.timer.advanceUntil(deployment.state("m2", job));
    t.is(state.phase, JobPhase.Cancelled);
});

test("a refused job never starts, not even after the store recovers", async t => {
    const deployment = await startDeployment(16);
    deployment.store.faults.down = true;
    await deployment.timer.advance(200);
    const replies: ReplyKind[] = [];
    const jobs = [...Array(6).keys()].map(() => deployment.createJob([{}]));
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
    t.is(deployment.rules.startCount, 0);
});

test("a draining worker gets no new tasks and finishes those that it runs", async t => {
    const deployment = await startDeployment(17, 2);
    const leaving = deployment.fleet.workers.get("w0")!;
    const first = deployment.createJob([{ taskCount: 16, estimateMs: 2000 }]);
    await deployment.timer.advanceUntil(deployment.submit("m0", first));
    await deployment.timer.advance(500);
    t.true(leaving.running.size > 0);
    deployment.updateDirectory({ ...leaving.entry, draining: true });
    await deployment.timer.advance(500);
    const before = [...leaving.running.keys()];
    const second = deployment.createJob([{ taskCount: 12, estimateMs: 500 }]);
    await deployment.timer.advanceUntil(deployment.submit("m1", second));
    t.is(await deployment.waitUntilFinal(second, 10_000), JobPhase.Completed);
    t.deepEqual([...leaving.running.keys()].filter(task => !before.includes(task)), []);
    t.is(await deployment.waitUntilFinal(first, 10_000), JobPhase.Completed);
    t.is(deployment.rules.startCount, 28);
});

test("no job runs twice when replies of the store are lost or late", async t => {
    const deployment = await startDeployment(18);
    deployment.store.faults.lostReplyShare = 0.4;
    deployment.store.faults.lateShare = 0.2;
    const accepted = [];
    for (let number = 0; number < 10; number++) {
        const job = deployment.createJob([{ taskCount: 2 }]);
        const { reply } = await deployment.timer.advanceUntil(deployment.submit("m0", job), 8000);
        if (reply.kind === ReplyKind.Accepted) {
            accepted.push(job);
        }
    }
    deployment.store.faults.lostReplyShare = 0;
    deployment.store.faults.lateShare = 0;
    for (const job of accepted) {
        t.is(await deployment.waitUntilFinal(job, 20_000), JobPhase.Completed);
    }
    t.true(accepted.length > 0);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("an owner on a slow machine hands ownership over, but not to another slow process", async t => {
    const deployment = await startDeployment(19);
    await deployment.timer.advance(3000);
    const first = deployment.ownerMachine;
    const [fast, slow] = [...deployment.processes.keys()].filter(machine => machine !== first);
    const { epoch } = deployment.ownerRow!;
    const job = deployment.createJob([{ taskCount: 8, estimateMs: 3000 }]);
    await deployment.timer.advanceUntil(deployment.submit(fast!, job));
    await deployment.timer.advance(200);
    deployment.delayTimers(slow!, 150);
    deployment.delayTimers(first, 200);
    await deployment.timer.advance(2500);
    t.is(deployment.ownerMachine, fast);
    t.is(deployment.ownerRow!.epoch, epoch + 1);
    t.is(await deployment.waitUntilFinal(job, 10_000), JobPhase.Completed);
    t.is(deployment.rules.startCount, 8);
    t.deepEqual(deployment.rules.allViolations(), []);
});

test("an owner that is no slower than the other processes keeps its ownership", async t => {
    const deployment = await startDeployment(20);
    await deployment.timer.advance(3000);
    const { epoch } = deployment.ownerRow!;
    for (const machine of deployment.processes.keys()) {
        deployment.delayTimers(machine, 150);
    }
    await deployment.timer.advance(8000);
    t.is(deployment.ownerRow!.epoch, epoch);
});

test("an owner that is cut off from the store and its peers is replaced within two seconds", async t => {
    const deployment = await startDeployment(21);
    const first = deployment.ownerMachine;
    deployment.store.faults.isolatedMachines.add(first);
    deployment.partitionedMachines.add(first);
    await deployment.timer.advance(2000);
    t.not(deployment.ownerMachine, first);
});

test("an owner that stops does not choose a stopping process as its successor", async t => {
    const deployment = await startDeployment(22);
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
