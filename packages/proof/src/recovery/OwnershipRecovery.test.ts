import { OutcomeState } from "@skylarkpath/common/model/Request";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { RECOVERY_TOPOLOGY, RecoveryFixture, type TestRequest } from "./RecoveryFixture.js";

const LOOKUP: TestRequest = { queue: "part-lookup", payload: "fork seal" };
const VANTAA = { failureDomain: "vantaa", region: "etela" };
const LONG_TASKS = { taskBehaviorOf: () => ({ durationMs: 20_000, fails: false, answer: "long" }) };
const MAX_TAKE_OVER_MS = 3000;
const HEARTBEAT_MS = 250;

test("a killed owner is replaced by its first successor within three seconds, and no look-up fails", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY });
    const before = await fixture.readSliceRow("vantaa");
    const owner = fixture.ownerOf("vantaa")!;
    const finishLookups = fixture.submitRepeatedly(() => "tampere-entry-0", LOOKUP, 20);
    const finishJobs = fixture.submitRepeatedly(() => "vantaa-entry-2", RecoveryFixture.batchJob(1), 100);
    await fixture.advance(1000);
    const killedMs = fixture.deployment.timer.nowMs();
    fixture.deployment.kill(owner);
    await fixture.advance(10_000);
    const vantaaStarts = fixture.taskEvents.filter(event =>
        event.workerId.startsWith("vantaa") && event.state === "running" && event.epoch > before.epoch
    );
    t.true(vantaaStarts[0]!.atMs - killedMs <= MAX_TAKE_OVER_MS, `${vantaaStarts[0]!.atMs - killedMs} ms`);
    const after = await fixture.readSliceRow("vantaa");
    t.is(after.owner, before.successors[0]!.owner);
    t.is(after.epoch, before.successors[0]!.epoch);
    const lookups = await finishLookups();
    t.true(lookups.length > 400);
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    for (const job of await finishJobs()) {
        t.is((await fixture.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(fixture.duplicateRuns, []);
});

test("without the store, a named successor takes over, adopts running tasks and is stored as owner later", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const accepted = await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(3));
    await fixture.advance(2000);
    const before = await fixture.readSliceRow("vantaa");
    fixture.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    fixture.deployment.kill(fixture.ownerOf("vantaa")!);
    await fixture.advance(30_000);
    t.is(fixture.ownerOf("vantaa"), before.successors[0]!.owner.split("/")[0]);
    t.is(fixture.startTimesAfter(0).length, 3);
    fixture.deployment.table.setFaultPlan(NO_FAULTS);
    await fixture.advance(10_000);
    const after = await fixture.readSliceRow("vantaa");
    t.is(after.epoch, before.successors[0]!.epoch);
    t.is((await fixture.describe("oulu-entry-0", accepted.requestId!)).outcome.state, OutcomeState.Done);
    t.deepEqual(fixture.duplicateRuns, []);
    t.is(fixture.startTimesAfter(0).length, 3);
});

test("a graceful stop hands the slice over with its state, and tasks continue to start", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY });
    const before = await fixture.readSliceRow("vantaa");
    const owner = fixture.ownerOf("vantaa")!;
    const finishLookups = fixture.submitRepeatedly(() => "vantaa-entry-2", LOOKUP, 20);
    const finishJobs = fixture.submitRepeatedly(() => "vantaa-entry-2", RecoveryFixture.batchJob(1), 40);
    await fixture.advance(2000);
    const stoppedMs = fixture.deployment.timer.nowMs();
    await fixture.deployment.timer.advanceUntil(fixture.deployment.process(owner).process.stop());
    fixture.deployment.kill(owner);
    await fixture.advance(3000);
    const lookups = await finishLookups();
    const jobs = await finishJobs();
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    const starts = fixture.startTimesAfter(stoppedMs - 500).filter(atMs => atMs < stoppedMs + 2500);
    const gaps = starts.slice(1).map((atMs, index) => atMs - starts[index]!);
    t.true(Math.max(...gaps) <= HEARTBEAT_MS, `${Math.max(...gaps)} ms`);
    t.is((await fixture.readSliceRow("vantaa")).epoch, before.successors[0]!.epoch);
    for (const job of jobs) {
        t.is((await fixture.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(fixture.duplicateRuns, []);
});

test("pending tasks of an owner that stops start under its successor without waiting for leases to expire", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const accepted = await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(60));
    await fixture.advance(5000);
    const running = fixture.startTimesAfter(0).length;
    t.true(running < 60);
    await fixture.deployment.timer.advanceUntil(
        fixture.deployment.process(fixture.ownerOf("vantaa")!).process.stop()
    );
    await fixture.advance(60_000);
    const reply = await fixture.describe("oulu-entry-0", accepted.requestId!);
    t.is(reply.outcome.answers?.length, 60);
    t.is(fixture.startTimesAfter(0).length, 60);
    t.deepEqual(fixture.duplicateRuns, []);
});

test("all entries of a failure domain can be replaced under load, one after the other and two at once", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY });
    const { deployment } = fixture;
    const finishLookups = fixture.submitRepeatedly(() => "tampere-entry-0", LOOKUP, 50);
    const finishJobs = fixture.submitRepeatedly(() => "tampere-entry-1", RecoveryFixture.batchJob(1), 100);
    const replace = async (processId: string): Promise<void> => {
        await deployment.process(processId).process.stop();
        deployment.kill(processId);
        deployment.startProcess(VANTAA, processId);
    };
    for (const processId of ["vantaa-entry-0", "vantaa-entry-1", "vantaa-entry-2"]) {
        await deployment.timer.advanceUntil(replace(processId));
        await fixture.advance(3000);
    }
    await deployment.timer.advanceUntil(Promise.all(["vantaa-entry-1", "vantaa-entry-2"].map(replace)));
    await fixture.advance(6000);
    t.not(fixture.ownerOf("vantaa"), undefined);
    const lookups = await finishLookups();
    t.deepEqual(lookups.filter(reply => reply.outcome.state !== OutcomeState.Done), []);
    for (const job of await finishJobs()) {
        t.is((await fixture.describe("oulu-entry-0", job.requestId!)).outcome.state, OutcomeState.Done);
    }
    t.deepEqual(fixture.duplicateRuns, []);
});

test("a restarted worker gets no tasks while neither the store nor a successor responds", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const { deployment } = fixture;
    await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(60));
    await fixture.advance(1000);
    const successors = (await fixture.readSliceRow("vantaa")).successors.map(successor =>
        successor.owner.split("/")[0]!
    );
    deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const isolatedAddress = deployment.machine(successors[0]!).address;
    deployment.network.setLinkPlan((from, to) => ({
        cut: from === isolatedAddress || to === isolatedAddress,
        delayMs: 1
    }));
    await fixture.advance(200);
    const restartedMs = deployment.timer.nowMs();
    deployment.workers.get("vantaa-worker-0")!.restart();
    await fixture.advance(1300);
    const startsOnRestartedWorker = (): number =>
        fixture.taskEvents.filter(event =>
            event.workerId === "vantaa-worker-0" && event.state === "running" && event.atMs > restartedMs
        ).length;
    t.is(startsOnRestartedWorker(), 0);
    deployment.network.setLinkPlan(() => ({ cut: false, delayMs: 1 }));
    await fixture.advance(5000);
    t.true(startsOnRestartedWorker() > 0);
    t.deepEqual(fixture.duplicateRuns, []);
});
