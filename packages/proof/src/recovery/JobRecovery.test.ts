import { OutcomeState } from "@skylarkpath/common/model/Request";
import { type JsonValue, TableName } from "@skylarkpath/common/platform/TableService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { DEFAULT_PROCESS_OPTIONS } from "@skylarkpath/control/process/ProcessOptions";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultGate";
import test from "ava";
import { RecoveryBench } from "./RecoveryBench.js";

test("an outdated scan does not open a finished request again", async t => {
    const processOptions = { ...DEFAULT_PROCESS_OPTIONS, lookupMemoryMs: 100, reloadIntervalMs: 1000 };
    const taskBehaviorOf = () => ({ durationMs: 3000, fails: false, answer: "read" });
    const bench = await RecoveryBench.start({ processOptions, taskBehaviorOf });
    const { table } = bench.deployment;
    table.setFaultPlan(operation => ({ kind: FaultKind.None, delayMs: operation === "scan" ? 2000 : 2 }));
    const accepted: string[] = [];
    for (let job = 0; job < 12; job++) {
        accepted.push((await bench.submitNow("vantaa-entry-0", RecoveryBench.job(1))).requestId!);
        await bench.advance(700);
    }
    await bench.advance(20_000);
    table.setFaultPlan(NO_FAULTS);
    await bench.advance(8000);
    const starts = bench.taskEvents.filter(event => event.state === WorkerTaskState.Running);
    t.is(starts.length, accepted.length);
    for (const requestId of accepted) {
        t.is((await bench.describe("vantaa-entry-1", requestId)).outcome.state, OutcomeState.Done);
    }
});

test("an outcome whose commit fails is committed when the store is back", async t => {
    const bench = await RecoveryBench.start();
    const accepted = await bench.submitNow("vantaa-entry-0", RecoveryBench.job(2));
    bench.deployment.table.setFaultPlan(() => ({ kind: FaultKind.Unavailable, delayMs: 1 }));
    await bench.advance(20_000);
    const { requestId } = accepted;
    const unanswered = await bench.describe("oulu-entry-0", requestId!, 0);
    t.not(unanswered.outcome.state, OutcomeState.NotRun);
    bench.deployment.table.setFaultPlan(NO_FAULTS);
    await bench.advance(3000);
    const reply = await bench.describe("oulu-entry-0", accepted.requestId!);
    t.is(reply.outcome.state, OutcomeState.Done);
    t.is(reply.outcome.answers?.length, 2);
    const starts = bench.taskEvents.filter(event => event.state === WorkerTaskState.Running);
    t.is(starts.length, 2);
});

test("an owner that sees a request of a later epoch resigns and does not run it", async t => {
    const bench = await RecoveryBench.start();
    const owner = bench.ownerOf("vantaa")!;
    const { process } = bench.deployment.process(owner);
    const accepted = await bench.submitNow("vantaa-entry-0", RecoveryBench.job(1));
    const row = await bench.deployment.table.read(TableName.Requests, accepted.requestId!);
    const record = row._unsafeUnwrap()!.value as { readonly [key: string]: JsonValue; };
    const requestId = "vantaa.claimed-later";
    const later = { ...record, requestId, claimEpoch: 1000 };
    await bench.deployment.table.commit({
        conditions: [],
        mutations: [{ table: TableName.Requests, key: requestId, value: later }]
    });
    const before = process.ownedSlices.length;
    const [slice] = process.ownedSlices;
    const taken = await bench.deployment.timer.advanceUntil(slice!.submit(requestId));
    t.is(before, 1);
    t.false(taken);
    t.false(process.ownedSlices.includes(slice!));
    t.false(bench.taskEvents.some(event => event.task.requestId === requestId));
});

test("a job cancelled after a take-over is not said to be not-run", async t => {
    const bench = await RecoveryBench.start({
        taskBehaviorOf: () => ({ durationMs: 600_000, fails: false, answer: "late" })
    });
    const accepted = await bench.submitNow("oulu-entry-0", RecoveryBench.job(1));
    await bench.advance(1000);
    const sliceId = accepted.requestId!.split(".")[0]!;
    const domain = { failureDomain: sliceId, region: "pohjoinen" };
    bench.deployment.kill(bench.ownerOf(sliceId)!);
    bench.deployment.startProcess(domain, "oulu-entry-1");
    await bench.advance(10_000);
    const { requests } = bench.deployment.process("vantaa-entry-0").process;
    const question = { requestId: accepted.requestId!, key: bench.key, waitMs: 30_000 };
    const cancelled = await bench.deployment.timer.advanceUntil(requests.cancel(question));
    t.is(cancelled.outcome.state, OutcomeState.Unknown);
    t.is(bench.taskEvents.filter(event => event.state === WorkerTaskState.Running).length, 1);
});
