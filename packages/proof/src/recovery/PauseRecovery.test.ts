import { OutcomeState } from "@skylarkpath/common/model/Request";
import { DEFAULT_PROCESS_OPTIONS } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { RECOVERY_TOPOLOGY, RecoveryFixture, type TestRequest } from "./RecoveryFixture.js";

const LOOKUP: TestRequest = { queue: "part-lookup", payload: "fork seal" };
const LONG_TASKS = { taskBehaviorOf: () => ({ durationMs: 30_000, fails: false, answer: "long" }) };
const LONGER_THAN_LEASES_MS = 20_000;
const PAUSE_EVENT_NUMBER = 1423;

test("an owner that was paused for longer than all leases starts no task when it resumes", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const owner = fixture.ownerOf("vantaa")!;
    const accepted = await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(10));
    await fixture.advance(1000);
    const epoch = (await fixture.readSliceRow("vantaa")).epoch;
    fixture.faulty.pause(owner);
    await fixture.advance(LONGER_THAN_LEASES_MS);
    const resumedMs = fixture.deployment.timer.nowMs();
    fixture.faulty.resume(owner);
    await fixture.advance(2000);
    const stale = fixture.taskEvents.filter(event =>
        event.atMs >= resumedMs && event.workerId.startsWith("vantaa") && event.epoch === epoch
        && event.state === "running"
    );
    t.deepEqual(stale, []);
    t.not(fixture.ownerOf("vantaa"), owner);
    const { process, timeline } = fixture.deployment.process(owner);
    t.is(process.ownedSlices.length, 0);
    t.true(timeline.read({}).some(event => event.number === PAUSE_EVENT_NUMBER));
    const reply = await fixture.describe("oulu-entry-0", accepted.requestId!, 120_000);
    t.is(reply.outcome.answers?.length, 10);
    t.deepEqual(fixture.duplicateRuns, []);
});

test("an owner that resumes before a takeover confirms its ownership and continues", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY });
    const owner = fixture.ownerOf("vantaa")!;
    fixture.faulty.pause(owner);
    await fixture.advance(1500);
    fixture.faulty.resume(owner);
    await fixture.advance(1000);
    t.is(fixture.ownerOf("vantaa"), owner);
    const accepted = await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(2));
    t.is((await fixture.describe("oulu-entry-0", accepted.requestId!)).outcome.state, OutcomeState.Done);
});

test("a resumed owner grants no slots, and its successor waits until those granted before have expired", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY });
    const owner = fixture.ownerOf("vantaa")!;
    const finishLookups = fixture.submitRepeatedly(() => "vantaa-entry-2", LOOKUP, 10);
    await fixture.advance(500);
    const pausedMs = fixture.deployment.timer.nowMs();
    fixture.faulty.pause(owner);
    await fixture.advance(15_000);
    fixture.faulty.resume(owner);
    await fixture.advance(2000);
    const servedAgainMs =
        fixture.attemptEvents.find(event =>
            event.targetId.startsWith("vantaa") && event.state === "running" && event.atMs > pausedMs + 100
        )!.atMs;
    const maxHeartbeatAgeAtPauseMs = DEFAULT_PROCESS_OPTIONS.heartbeatIntervalMs;
    const minTakeOverMs = DEFAULT_PROCESS_OPTIONS.deadAfterMs - maxHeartbeatAgeAtPauseMs;
    t.true(servedAgainMs - pausedMs >= minTakeOverMs + 4200, `${servedAgainMs - pausedMs} ms`);
    t.true(servedAgainMs - pausedMs <= 9000, `${servedAgainMs - pausedMs} ms`);
    await finishLookups();
});

test("a resumed owner sends nothing to its workers before the store has answered", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const owner = fixture.ownerOf("vantaa")!;
    await fixture.submitAndWait("vantaa-entry-2", RecoveryFixture.batchJob(10));
    await fixture.advance(1000);
    const exchangedAtMs: number[] = [];
    for (const [workerId, worker] of fixture.deployment.workers) {
        const exchange = worker.exchange.bind(worker);
        worker.exchange = message => {
            if (workerId.startsWith("vantaa")) {
                exchangedAtMs.push(fixture.deployment.timer.nowMs());
            }
            return exchange(message);
        };
    }
    fixture.faulty.pause(owner);
    await fixture.advance(1500);
    fixture.deployment.table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: 600 }));
    const resumedMs = fixture.deployment.timer.nowMs();
    exchangedAtMs.length = 0;
    fixture.faulty.resume(owner);
    await fixture.advance(3000);
    t.true(exchangedAtMs.length > 0);
    t.true(exchangedAtMs[0]! - resumedMs >= 600, `${exchangedAtMs[0]! - resumedMs} ms`);
    t.is(fixture.ownerOf("vantaa"), owner);
});
