import { OutcomeState } from "@skylarkpath/common/model/Request";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultGate";
import test from "ava";
import { RECOVERY_TOPOLOGY, RecoveryBench, type TestBody } from "./RecoveryBench.js";

const LOOKUP: TestBody = { queue: "part-lookup", payload: "fork seal" };
const VANTAA = { failureDomain: "vantaa", region: "etela" };
const LONG_TASKS = { taskBehaviorOf: () => ({ durationMs: 20_000, fails: false, answer: "long" }) };
const TAKE_OVER_LIMIT_MS = 3000;
const HEARTBEAT_MS = 250;

test("a killed owner is followed by its first successor within three seconds, and look-ups go on", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY });
    const before = await bench.rowOf("vantaa");
    const owner = bench.ownerOf("vantaa")!;
    const finishLookups = bench.repeat(() => "tampere-entry-0", LOOKUP, 20);
    const finishJobs = bench.repeat(() => "vantaa-entry-2", RecoveryBench.job(1), 100);
    await bench.advance(1000);
    const killedMs = bench.deployment.timer.nowMs();
    bench.deployment.kill(owner);
    await bench.advance(10_000);
    const vantaaStarts = bench.taskEvents.filter(event =>
        event.workerId.startsWith("vantaa") && event.state === "running" && event.epoch > before.epoch
    );
    t.true(vantaaStarts[0]!.atMs - killedMs <= TAKE_OVER_LIMIT_MS, `${vantaaStarts[0]!.atMs - killedMs} ms`);
    const after = await bench.rowOf("vantaa");
    t.is(after.owner, before.successors[0]!.owner);
    t.is(after.epoch, before.successors[0]!.epoch);
    const lookups = await finishLookups();
    t.true(lookups.length > 400);
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    for (const job of await finishJobs()) {
        t.is((await bench.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(bench.doubledTasks, []);
});

test("without the store a named successor takes over, adopts what runs, and records it later", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const accepted = await bench.submitNow("vantaa-entry-2", RecoveryBench.job(3));
    await bench.advance(2000);
    const before = await bench.rowOf("vantaa");
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    bench.deployment.kill(bench.ownerOf("vantaa")!);
    await bench.advance(30_000);
    t.is(bench.ownerOf("vantaa"), before.successors[0]!.owner.split("/")[0]);
    t.is(bench.startsAfter(0).length, 3);
    bench.deployment.table.setFaultPlan(NO_FAULTS);
    await bench.advance(10_000);
    const after = await bench.rowOf("vantaa");
    t.is(after.epoch, before.successors[0]!.epoch);
    t.is((await bench.describe("oulu-entry-0", accepted.requestId!)).outcome.state, OutcomeState.Done);
    t.deepEqual(bench.doubledTasks, []);
    t.is(bench.startsAfter(0).length, 3);
});

test("a graceful stop hands the slice over with its state and without a gap", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY });
    const before = await bench.rowOf("vantaa");
    const owner = bench.ownerOf("vantaa")!;
    const finishLookups = bench.repeat(() => "vantaa-entry-2", LOOKUP, 20);
    const finishJobs = bench.repeat(() => "vantaa-entry-2", RecoveryBench.job(1), 40);
    await bench.advance(2000);
    const stoppedMs = bench.deployment.timer.nowMs();
    await bench.deployment.timer.advanceUntil(bench.deployment.process(owner).process.stop());
    bench.deployment.kill(owner);
    await bench.advance(3000);
    const lookups = await finishLookups();
    const jobs = await finishJobs();
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    const starts = bench.startsAfter(stoppedMs - 500).filter(atMs => atMs < stoppedMs + 2500);
    const gaps = starts.slice(1).map((atMs, place) => atMs - starts[place]!);
    t.true(Math.max(...gaps) <= HEARTBEAT_MS, `${Math.max(...gaps)} ms`);
    t.is((await bench.rowOf("vantaa")).epoch, before.successors[0]!.epoch);
    for (const job of jobs) {
        t.is((await bench.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(bench.doubledTasks, []);
});

test("held work of an owner that stops starts at once under its successor, without waiting for leases", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const accepted = await bench.submitNow("vantaa-entry-2", RecoveryBench.job(60));
    await bench.advance(5000);
    const running = bench.startsAfter(0).length;
    t.true(running < 60);
    await bench.deployment.timer.advanceUntil(
        bench.deployment.process(bench.ownerOf("vantaa")!).process.stop()
    );
    await bench.advance(60_000);
    const reply = await bench.describe("oulu-entry-0", accepted.requestId!);
    t.is(reply.outcome.answers?.length, 60);
    t.is(bench.startsAfter(0).length, 60);
    t.deepEqual(bench.doubledTasks, []);
});

test("all entries of a failure domain are replaced one after the other, then two at once, under load", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY });
    const { deployment } = bench;
    const finishLookups = bench.repeat(() => "tampere-entry-0", LOOKUP, 50);
    const finishJobs = bench.repeat(() => "tampere-entry-1", RecoveryBench.job(1), 100);
    const replace = async (processId: string): Promise<void> => {
        await deployment.process(processId).process.stop();
        deployment.kill(processId);
        deployment.startProcess(VANTAA, processId);
    };
    for (const processId of ["vantaa-entry-0", "vantaa-entry-1", "vantaa-entry-2"]) {
        await deployment.timer.advanceUntil(replace(processId));
        await bench.advance(3000);
    }
    await deployment.timer.advanceUntil(Promise.all(["vantaa-entry-1", "vantaa-entry-2"].map(replace)));
    await bench.advance(6000);
    t.not(bench.ownerOf("vantaa"), undefined);
    const lookups = await finishLookups();
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    for (const job of await finishJobs()) {
        t.is((await bench.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(bench.doubledTasks, []);
});

test("a restarted worker is not used while neither the store nor a successor answers", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const { deployment } = bench;
    await bench.submitNow("vantaa-entry-2", RecoveryBench.job(60));
    await bench.advance(1000);
    const successors = (await bench.rowOf("vantaa")).successors.map(successor => successor.owner.split("/")[0]!);
    deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const cutOff = deployment.machine(successors[0]!).address;
    deployment.network.setLinkPlan((from, to) => ({ cut: from === cutOff || to === cutOff, delayMs: 1 }));
    await bench.advance(200);
    const restartedMs = deployment.timer.nowMs();
    deployment.workers.get("vantaa-worker-0")!.restart();
    await bench.advance(1300);
    const startsThere = (): number =>
        bench.taskEvents.filter(event =>
            event.workerId === "vantaa-worker-0" && event.state === "running" && event.atMs > restartedMs
        ).length;
    t.is(startsThere(), 0);
    deployment.network.setLinkPlan(() => ({ cut: false, delayMs: 1 }));
    await bench.advance(5000);
    t.true(startsThere() > 0);
    t.deepEqual(bench.doubledTasks, []);
});
