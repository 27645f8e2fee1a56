import { OutcomeState } from "@skylarkpath/common/model/Request";
import { DEFAULT_PROCESS_OPTIONS } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind } from "@skylarkpath/standins/memory/FaultGate";
import test from "ava";
import { RECOVERY_TOPOLOGY, RecoveryBench, type TestBody } from "./RecoveryBench.js";

const LOOKUP: TestBody = { queue: "part-lookup", payload: "fork seal" };
const LONG_TASKS = { taskBehaviorOf: () => ({ durationMs: 30_000, fails: false, answer: "long" }) };
const LONGER_THAN_LEASES_MS = 20_000;
const PAUSE_EVENT = 1423;

test("an owner that was paused for longer than all leases commands nothing when it wakes up", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const owner = bench.ownerOf("vantaa")!;
    const accepted = await bench.submitNow("vantaa-entry-2", RecoveryBench.job(10));
    await bench.advance(1000);
    const epoch = (await bench.rowOf("vantaa")).epoch;
    bench.faulty.pause(owner);
    await bench.advance(LONGER_THAN_LEASES_MS);
    const wakenMs = bench.deployment.timer.nowMs();
    bench.faulty.resume(owner);
    await bench.advance(2000);
    const stale = bench.taskEvents.filter(event =>
        event.atMs >= wakenMs && event.workerId.startsWith("vantaa") && event.epoch === epoch
        && event.state === "running"
    );
    t.deepEqual(stale, []);
    t.not(bench.ownerOf("vantaa"), owner);
    const { process, timeline } = bench.deployment.process(owner);
    t.is(process.ownedSlices.length, 0);
    t.true(timeline.read({}).some(event => event.number === PAUSE_EVENT));
    const reply = await bench.describe("oulu-entry-0", accepted.requestId!, 120_000);
    t.is(reply.outcome.answers?.length, 10);
    t.deepEqual(bench.doubledTasks, []);
});

test("an owner that wakes up before anybody took over confirms its ownership and goes on", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY });
    const owner = bench.ownerOf("vantaa")!;
    bench.faulty.pause(owner);
    await bench.advance(1500);
    bench.faulty.resume(owner);
    await bench.advance(1000);
    t.is(bench.ownerOf("vantaa"), owner);
    const accepted = await bench.submitNow("vantaa-entry-2", RecoveryBench.job(2));
    t.is((await bench.describe("oulu-entry-0", accepted.requestId!)).outcome.state, OutcomeState.Done);
});

test("a paused owner gives no slots on waking, and its successor waits until those it gave are used up", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY });
    const owner = bench.ownerOf("vantaa")!;
    const finishLookups = bench.repeat(() => "vantaa-entry-2", LOOKUP, 10);
    await bench.advance(500);
    const pausedMs = bench.deployment.timer.nowMs();
    bench.faulty.pause(owner);
    await bench.advance(15_000);
    bench.faulty.resume(owner);
    await bench.advance(2000);
    const servedAgainMs =
        bench.attemptEvents.find(event =>
            event.targetId.startsWith("vantaa") && event.state === "running" && event.atMs > pausedMs + 100
        )!.atMs;
    const silenceBeforePauseMs = DEFAULT_PROCESS_OPTIONS.heartbeatIntervalMs;
    const takeOverMs = DEFAULT_PROCESS_OPTIONS.deadAfterMs - silenceBeforePauseMs;
    t.true(servedAgainMs - pausedMs >= takeOverMs + 4200, `${servedAgainMs - pausedMs} ms`);
    t.true(servedAgainMs - pausedMs <= 9000, `${servedAgainMs - pausedMs} ms`);
    await finishLookups();
});

test("a paused owner sends its workers nothing before the store has answered", async t => {
    const bench = await RecoveryBench.start({ topology: RECOVERY_TOPOLOGY, ...LONG_TASKS });
    const owner = bench.ownerOf("vantaa")!;
    await bench.submitNow("vantaa-entry-2", RecoveryBench.job(10));
    await bench.advance(1000);
    const exchangedAtMs: number[] = [];
    for (const [workerId, worker] of bench.deployment.workers) {
        const exchange = worker.exchange.bind(worker);
        worker.exchange = message => {
            if (workerId.startsWith("vantaa")) {
                exchangedAtMs.push(bench.deployment.timer.nowMs());
            }
            return exchange(message);
        };
    }
    bench.faulty.pause(owner);
    await bench.advance(1500);
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.None, delayMs: 600 }));
    const wakenMs = bench.deployment.timer.nowMs();
    exchangedAtMs.length = 0;
    bench.faulty.resume(owner);
    await bench.advance(3000);
    t.true(exchangedAtMs.length > 0);
    t.true(exchangedAtMs[0]! - wakenMs >= 600, `${exchangedAtMs[0]! - wakenMs} ms`);
    t.is(bench.ownerOf("vantaa"), owner);
});
