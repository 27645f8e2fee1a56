import { OutcomeState } from "@skylarkpath/common/model/Request";
import { type JsonValue, TableName } from "@skylarkpath/common/platform/TableService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { DEFAULT_PROCESS_OPTIONS } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { RecoveryFixture } from "./RecoveryFixture.js";

test("an outdated scan does not reopen a finished request", async t => {
    const processOptions = { ...DEFAULT_PROCESS_OPTIONS, lookupMemoryMs: 100, reloadIntervalMs: 1000 };
    const taskBehaviorOf = () => ({ durationMs: 3000, fails: false, answer: "read" });
    const fixture = await RecoveryFixture.start({ processOptions, taskBehaviorOf });
    const { table } = fixture.deployment;
    table.setFaultPlan(operation => ({ kind: FaultKind.None, delayMs: operation === "scan" ? 2000 : 2 }));
    const accepted: string[] = [];
    for (let job = 0; job < 12; job++) {
        accepted.push((await fixture.submitAndWait("vantaa-entry-0", RecoveryFixture.batchJob(1))).requestId!);
        await fixture.advance(700);
    }
    await fixture.advance(20_000);
    table.setFaultPlan(NO_FAULTS);
    await fixture.advance(8000);
    const starts = fixture.taskEvents.filter(event => event.state === WorkerTaskState.Running);
    t.is(starts.length, accepted.length);
    for (const requestId of accepted) {
        t.is((await fixture.describe("vantaa-entry-1", requestId)).outcome.state, OutcomeState.Done);
    }
});

test("an outcome whose commit fails is committed once the store recovers", async t => {
    const fixture = await RecoveryFixture.start();
    const accepted = await fixture.submitAndWait("vantaa-entry-0", RecoveryFixture.batchJob(2));
    fixture.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    await fixture.advance(20_000);
    const { requestId } = accepted;
    const duringOutage = await fixture.describe("oulu-entry-0", requestId!, 0);
    t.not(duringOutage.outcome.state, OutcomeState.NotRun);
    fixture.deployment.table.setFaultPlan(NO_FAULTS);
    await fixture.advance(3000);
    const reply = await fixture.describe("oulu-entry-0", accepted.requestId!);
    t.is(reply.outcome.state, OutcomeState.Done);
    t.is(reply.outcome.answers?.length, 2);
    const starts = fixture.taskEvents.filter(event => event.state === WorkerTaskState.Running);
    t.is(starts.length, 2);
});

test("an owner that reads a request of a later epoch gives up its slice and does not run it", async t => {
    const fixture = await RecoveryFixture.start();
    const owner = fixture.ownerOf("vantaa")!;
    const { process } = fixture.deployment.process(owner);
    const accepted = await fixture.submitAndWait("vantaa-entry-0", RecoveryFixture.batchJob(1));
    const row = await fixture.deployment.table.read(TableName.Requests, accepted.requestId!);
    const record = row._unsafeUnwrap()!.value as { readonly [key: string]: JsonValue; };
    const requestId = "vantaa.claimed-later";
    const later = { ...record, requestId, claimEpoch: 1000 };
    await fixture.deployment.table.commit({
        conditions: [],
        mutations: [{ table: TableName.Requests, key: requestId, value: later }]
    });
    const before = process.ownedSlices.length;
    const [slice] = process.ownedSlices;
    const isAccepted = await fixture.deployment.timer.advanceUntil(slice!.submit(requestId));
    t.is(before, 1);
    t.false(isAccepted);
    t.false(process.ownedSlices.includes(slice!));
    t.false(fixture.taskEvents.some(event => event.task.requestId === requestId));
});

test("a running job that is cancelled after a takeover is not reported as not-run", async t => {
    const fixture = await RecoveryFixture.start({
        taskBehaviorOf: () => ({ durationMs: 600_000, fails: false, answer: "late" })
    });
    const accepted = await fixture.submitAndWait("oulu-entry-0", RecoveryFixture.batchJob(1));
    await fixture.advance(1000);
    const sliceId = accepted.requestId!.split(".")[0]!;
    const domain = { failureDomain: sliceId, region: "pohjoinen" };
    fixture.deployment.kill(fixture.ownerOf(sliceId)!);
    fixture.deployment.startProcess(domain, "oulu-entry-1");
    await fixture.advance(10_000);
    const { requests } = fixture.deployment.process("vantaa-entry-0").process;
    const query = { requestId: accepted.requestId!, key: fixture.key, waitMs: 30_000 };
    const cancelled = await fixture.deployment.timer.advanceUntil(requests.cancel(query));
    t.is(cancelled.outcome.state, OutcomeState.Unknown);
    t.is(fixture.taskEvents.filter(event => event.state === WorkerTaskState.Running).length, 1);
});
