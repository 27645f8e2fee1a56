import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultGate";
import test from "ava";
import { RecoveryBench, type TestBody } from "./RecoveryBench.js";

const ORDER: TestBody = { queue: "battery-order", payload: "battery" };
const SLOW_SERVING = { servingBehaviorOf: () => ({ durationMs: 3000, fails: false, answer: "ordered" }) };
const TARGETS_OF_VANTAA = ["vantaa-target-0", "vantaa-target-1"];

function startsOf(bench: RecoveryBench): number {
    return bench.attemptEvents.filter(event => event.state === AttemptState.Running).length;
}

/** Finds the id of the only request that targets have seen. */
function onlyRequestOf(bench: RecoveryBench): string {
    return bench.attemptEvents[0]!.request.requestId;
}

test("the owner asks the target what became of an order whose entry died, and sends nothing again", async t => {
    const bench = await RecoveryBench.start(SLOW_SERVING);
    void bench.submit("tampere-entry-0", ORDER, "order-1");
    await bench.advance(500);
    t.is(startsOf(bench), 1);
    bench.deployment.kill("tampere-entry-0");
    bench.deployment.startProcess({ failureDomain: "tampere", region: "etela" }, "tampere-entry-1");
    await bench.advance(20_000);
    const reply = await bench.describe("oulu-entry-0", onlyRequestOf(bench));
    t.deepEqual(reply.outcome.answers, ["ordered"]);
    const again = await bench.submitNow("vantaa-entry-0", ORDER, "order-1");
    t.is(again.requestId, onlyRequestOf(bench));
    t.deepEqual(again.outcome.answers, ["ordered"]);
    t.is(startsOf(bench), 1);
});

test("an order whose entry and target are both lost becomes unknown", async t => {
    const bench = await RecoveryBench.start(SLOW_SERVING);
    void bench.submit("vantaa-entry-1", ORDER);
    await bench.advance(500);
    bench.deployment.kill("vantaa-entry-1");
    const targetId = bench.attemptEvents[0]!.targetId;
    t.true(TARGETS_OF_VANTAA.includes(targetId));
    bench.deployment.network.detach(bench.deployment.machine(targetId).address);
    await bench.advance(30_000);
    const reply = await bench.describe("oulu-entry-0", onlyRequestOf(bench));
    t.is(reply.outcome.state, OutcomeState.Unknown);
    t.is(startsOf(bench), 1);
});

test("the same key at two entries at once runs one order; another body is a conflict", async t => {
    const bench = await RecoveryBench.start();
    const replies = await bench.deployment.timer.advanceUntil(Promise.all([
        bench.submit("vantaa-entry-0", ORDER, "order-2"),
        bench.submit("oulu-entry-0", ORDER, "order-2"),
        bench.submit("tampere-entry-0", { ...ORDER, payload: "two batteries" }, "order-2")
    ]));
    t.is(startsOf(bench), 1);
    const ids = new Set(replies.flatMap(reply => reply.requestId === undefined ? [] : [reply.requestId]));
    t.is(ids.size, 1);
    t.true(replies.some(reply => reply.outcome.reason === OutcomeReason.IdempotencyConflict));
    const payload = bench.attemptEvents[0]!.request.payload;
    const final = await bench.describe("oulu-entry-0", [...ids][0]!);
    t.deepEqual(final.outcome.answers, [`answer to ${payload}`]);
});

test("a repeated order is not called not-run for want of a slot or of the store", async t => {
    const bench = await RecoveryBench.start({
        servingBehaviorOf: () => ({ durationMs: 4000, fails: false, answer: "ordered" })
    });
    void bench.submit("vantaa-entry-0", ORDER, "order-3");
    await bench.advance(200);
    const requestId = onlyRequestOf(bench);
    for (let lookup = 0; lookup < 60; lookup++) {
        void bench.submit("vantaa-entry-0", { queue: "part-lookup", payload: "seal", deadlineMs: 4000 });
    }
    await bench.advance(300);
    const busy = await bench.submitNow("oulu-entry-0", ORDER, "order-3");
    t.is(busy.requestId, requestId);
    t.is(busy.outcome.state, OutcomeState.Running);
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const blind = await bench.submitNow("oulu-entry-0", ORDER, "order-3");
    t.is(blind.outcome.state, OutcomeState.Unknown);
});

test("an order whose start record is confirmed too late is not sent and becomes not-run", async t => {
    const bench = await RecoveryBench.start();
    bench.deployment.table.setFaultPlan(operation => ({
        kind: FaultKind.None,
        delayMs: operation === "commit" ? 14_000 : 2
    }));
    const reply = await bench.submitNow("vantaa-entry-0", ORDER, "order-4");
    t.is(reply.outcome.state, OutcomeState.Unknown);
    bench.deployment.table.setFaultPlan(NO_FAULTS);
    await bench.advance(20_000);
    const final = await bench.describe("oulu-entry-0", reply.requestId!);
    t.is(final.outcome.state, OutcomeState.NotRun);
    t.is(startsOf(bench), 0);
});

test("an order that was closed while its entry waited for the store is not sent", async t => {
    const bench = await RecoveryBench.start();
    const { table } = bench.deployment;
    table.setFaultPlan(operation => ({ kind: FaultKind.None, delayMs: operation === "commit" ? 3000 : 2 }));
    const waiting = bench.submit("vantaa-entry-0", ORDER, "order-5");
    await bench.advance(2000);
    table.setFaultPlan(NO_FAULTS);
    const rows = await table.scan({ table: "requests", prefix: "vantaa.", limit: 1 });
    const row = rows._unsafeUnwrap()[0]!;
    const closed = {
        ...row.value as object,
        outcome: { state: OutcomeState.Unknown, reason: OutcomeReason.OwnerLost }
    };
    await table.commit({
        conditions: [],
        mutations: [{ table: "requests", key: row.key }, { table: "outcomes", key: row.key, value: closed }]
    });
    const reply = await bench.deployment.timer.advanceUntil(waiting);
    t.is(reply.outcome.state, OutcomeState.Unknown);
    t.is(startsOf(bench), 0);
});

test("an answer that comes while the store is down reaches the caller and is committed later", async t => {
    const bench = await RecoveryBench.start(SLOW_SERVING);
    const waiting = bench.submit("vantaa-entry-0", ORDER);
    await bench.advance(500);
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const reply = await bench.deployment.timer.advanceUntil(waiting);
    t.is(reply.outcome.state, OutcomeState.Done);
    await bench.advance(300_000);
    bench.deployment.table.setFaultPlan(NO_FAULTS);
    await bench.advance(15_000);
    const final = await bench.describe("oulu-entry-0", reply.requestId!);
    t.deepEqual(final.outcome.answers, ["ordered"]);
});
