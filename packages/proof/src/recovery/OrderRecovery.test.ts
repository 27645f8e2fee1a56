import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { RecoveryFixture, type TestRequest } from "./RecoveryFixture.js";

const ORDER: TestRequest = { queue: "battery-order", payload: "battery" };
const SLOW_SERVING = { servingBehaviorOf: () => ({ durationMs: 3000, fails: false, answer: "ordered" }) };
const VANTAA_TARGET_IDS = ["vantaa-target-0", "vantaa-target-1"];

function countStarts(fixture: RecoveryFixture): number {
    return fixture.attemptEvents.filter(event => event.state === AttemptState.Running).length;
}

/** Returns the id of the only request that targets have received. */
function onlyRequestId(fixture: RecoveryFixture): string {
    return fixture.attemptEvents[0]!.request.requestId;
}

test("when the entry of an order dies, the owner asks the target for the outcome and resends nothing", async t => {
    const fixture = await RecoveryFixture.start(SLOW_SERVING);
    void fixture.submit("tampere-entry-0", ORDER, "order-1");
    await fixture.advance(500);
    t.is(countStarts(fixture), 1);
    fixture.deployment.kill("tampere-entry-0");
    fixture.deployment.startProcess({ failureDomain: "tampere", region: "etela" }, "tampere-entry-1");
    await fixture.advance(20_000);
    const reply = await fixture.describe("oulu-entry-0", onlyRequestId(fixture));
    t.deepEqual(reply.outcome.answers, ["ordered"]);
    const again = await fixture.submitAndWait("vantaa-entry-0", ORDER, "order-1");
    t.is(again.requestId, onlyRequestId(fixture));
    t.deepEqual(again.outcome.answers, ["ordered"]);
    t.is(countStarts(fixture), 1);
});

test("an order whose entry and target are both lost ends as unknown", async t => {
    const fixture = await RecoveryFixture.start(SLOW_SERVING);
    void fixture.submit("vantaa-entry-1", ORDER);
    await fixture.advance(500);
    fixture.deployment.kill("vantaa-entry-1");
    const targetId = fixture.attemptEvents[0]!.targetId;
    t.true(VANTAA_TARGET_IDS.includes(targetId));
    fixture.deployment.network.detach(fixture.deployment.machine(targetId).address);
    await fixture.advance(30_000);
    const reply = await fixture.describe("oulu-entry-0", onlyRequestId(fixture));
    t.is(reply.outcome.state, OutcomeState.Unknown);
    t.is(countStarts(fixture), 1);
});

test("concurrent submissions with one idempotency key run one order, and a different body is a conflict", async t => {
    const fixture = await RecoveryFixture.start();
    const replies = await fixture.deployment.timer.advanceUntil(Promise.all([
        fixture.submit("vantaa-entry-0", ORDER, "order-2"),
        fixture.submit("oulu-entry-0", ORDER, "order-2"),
        fixture.submit("tampere-entry-0", { ...ORDER, payload: "two batteries" }, "order-2")
    ]));
    t.is(countStarts(fixture), 1);
    const ids = new Set(replies.flatMap(reply => reply.requestId === undefined ? [] : [reply.requestId]));
    t.is(ids.size, 1);
    t.true(replies.some(reply => reply.outcome.reason === OutcomeReason.IdempotencyConflict));
    const payload = fixture.attemptEvents[0]!.request.payload;
    const final = await fixture.describe("oulu-entry-0", [...ids][0]!);
    t.deepEqual(final.outcome.answers, [`answer to ${payload}`]);
});

test("a repeated order is not reported as not-run when slots or the store are unavailable", async t => {
    const fixture = await RecoveryFixture.start({
        servingBehaviorOf: () => ({ durationMs: 4000, fails: false, answer: "ordered" })
    });
    void fixture.submit("vantaa-entry-0", ORDER, "order-3");
    await fixture.advance(200);
    const requestId = onlyRequestId(fixture);
    for (let lookup = 0; lookup < 60; lookup++) {
        void fixture.submit("vantaa-entry-0", { queue: "part-lookup", payload: "seal", deadlineMs: 4000 });
    }
    await fixture.advance(300);
    const busy = await fixture.submitAndWait("oulu-entry-0", ORDER, "order-3");
    t.is(busy.requestId, requestId);
    t.is(busy.outcome.state, OutcomeState.Running);
    fixture.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const duringOutage = await fixture.submitAndWait("oulu-entry-0", ORDER, "order-3");
    t.is(duringOutage.outcome.state, OutcomeState.Unknown);
});

test("an order whose start record is confirmed too late is not sent and ends as not-run", async t => {
    const fixture = await RecoveryFixture.start();
    fixture.deployment.table.setFaultPlan(operation => ({
        kind: FaultKind.None,
        delayMs: operation === "commit" ? 14_000 : 2
    }));
    const reply = await fixture.submitAndWait("vantaa-entry-0", ORDER, "order-4");
    t.is(reply.outcome.state, OutcomeState.Unknown);
    fixture.deployment.table.setFaultPlan(NO_FAULTS);
    await fixture.advance(20_000);
    const final = await fixture.describe("oulu-entry-0", reply.requestId!);
    t.is(final.outcome.state, OutcomeState.NotRun);
    t.is(countStarts(fixture), 0);
});

test("an order that is closed while its entry waits for the store is not sent", async t => {
    const fixture = await RecoveryFixture.start();
    const { table } = fixture.deployment;
    table.setFaultPlan(operation => ({ kind: FaultKind.None, delayMs: operation === "commit" ? 3000 : 2 }));
    const waiting = fixture.submit("vantaa-entry-0", ORDER, "order-5");
    await fixture.advance(2000);
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
    const reply = await fixture.deployment.timer.advanceUntil(waiting);
    t.is(reply.outcome.state, OutcomeState.Unknown);
    t.is(countStarts(fixture), 0);
});

test("an answer that arrives while the store is down reaches the caller and is committed later", async t => {
    const fixture = await RecoveryFixture.start(SLOW_SERVING);
    const waiting = fixture.submit("vantaa-entry-0", ORDER);
    await fixture.advance(500);
    fixture.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    const reply = await fixture.deployment.timer.advanceUntil(waiting);
    t.is(reply.outcome.state, OutcomeState.Done);
    await fixture.advance(300_000);
    fixture.deployment.table.setFaultPlan(NO_FAULTS);
    await fixture.advance(15_000);
    const final = await fixture.describe("oulu-entry-0", reply.requestId!);
    t.deepEqual(final.outcome.answers, ["ordered"]);
});
