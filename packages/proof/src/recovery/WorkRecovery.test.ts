import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import { FaultKind, NO_FAULTS } from "@skylarkpath/standins/memory/FaultSimulator";
import test from "ava";
import { RECOVERY_CONFIG_TEXT, RECOVERY_TOPOLOGY, RecoveryFixture } from "./RecoveryFixture.js";

const CANCEL_COUNT = 10_000;
const CANCELS_PER_STEP = 100;
const HOUR_MS = 3_600_000;
const SERVICE = `
[services.parts-database]
team = "dispatch"
count = 9
processors = 1
memory = "1GiB"
command = "parts-database"
`;

test("ten thousand cancels in a second each return the correct outcome", async t => {
    const fixture = await RecoveryFixture.start({
        topology: RECOVERY_TOPOLOGY,
        taskBehaviorOf: () => ({ durationMs: 60_000, fails: false, answer: "slow" })
    });
    const { requests } = fixture.deployment.process("vantaa-entry-2").process;
    const ids: string[] = [];
    for (let step = 0; step < CANCEL_COUNT / 500; step++) {
        const accepting = Promise.all(
            Array.from({ length: 500 }, () => fixture.submit("vantaa-entry-2", RecoveryFixture.batchJob(1)))
        );
        ids.push(...(await fixture.deployment.timer.advanceUntil(accepting)).map(reply => reply.requestId!));
    }
    await fixture.advance(1000);
    const before = fixture.deployment.table.counts.commits;
    const cancels: ReturnType<typeof requests.cancel>[] = [];
    for (let start = 0; start < CANCEL_COUNT; start += CANCELS_PER_STEP) {
        for (const requestId of ids.slice(start, start + CANCELS_PER_STEP)) {
            cancels.push(requests.cancel({ requestId, key: fixture.key, waitMs: 30_000 }));
        }
        await fixture.advance(1000 * CANCELS_PER_STEP / CANCEL_COUNT);
    }
    const replies = await fixture.deployment.timer.advanceUntil(Promise.all(cancels));
    const commits = fixture.deployment.table.counts.commits - before;
    const started = new Set(fixture.taskEvents.map(event => event.task.requestId));
    t.true(started.size > 0);
    const wrongReplies = replies.filter((reply, index) => {
        const expected = started.has(ids[index]!) ? OutcomeState.Unknown : OutcomeState.NotRun;
        return reply.outcome.state !== expected || reply.outcome.reason !== OutcomeReason.Cancelled;
    });
    t.deepEqual(wrongReplies.slice(0, 3), []);
    t.true(commits < CANCEL_COUNT / 20, `${commits} transactions`);
});

test("a checkpointable task that loses its worker restarts from its last checkpoint", async t => {
    const fixture = await RecoveryFixture.start({
        taskBehaviorOf: () => ({ durationMs: 100_000, fails: false, answer: "long" })
    });
    const job = RecoveryFixture.batchJob(1);
    await fixture.submitAndWait("vantaa-entry-0", { ...job, tasks: { ...job.tasks!, checkpointable: true } });
    await fixture.advance(40_000);
    const [first] = fixture.taskEvents;
    t.is(first!.task.checkpoint, undefined);
    fixture.deployment.workers.get(first!.workerId)!.restart();
    await fixture.advance(5000);
    const again = fixture.taskEvents.filter(event => event.state === WorkerTaskState.Running)[1]!;
    t.is(again.task.taskId, first!.task.taskId);
    t.is(again.task.checkpoint, `checkpoint-of-${first!.task.taskId}`);
});

test("scaling a service down stops only its surplus replicas", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY }, RECOVERY_CONFIG_TEXT + SERVICE);
    const running = (): number =>
        fixture.deployment.processes.reduce(
            (sum, { process }) =>
                sum
                + process.ownedSlices.reduce((part, slice) => part + (slice.activeReplicas["parts-database"] ?? 0), 0),
            0
        );
    t.is(running(), 9);
    const { config } = fixture.deployment.process("vantaa-entry-0").process;
    const applied = await fixture.deployment.timer.advanceUntil(
        config.apply(RECOVERY_CONFIG_TEXT + SERVICE.replace("count = 9", "count = 3"), config.version)
    );
    t.true(applied.isOk());
    await fixture.advance(10_000);
    t.is(running(), 3);
    const stops = fixture.taskEvents.filter(event => event.state === WorkerTaskState.Stopped).length;
    t.is(stops, 6);
    t.is(fixture.startTimesAfter(0).length, 0);
});

test("a service whose command and size change keeps its number of replicas while they are replaced", async t => {
    const fixture = await RecoveryFixture.start({ topology: RECOVERY_TOPOLOGY }, RECOVERY_CONFIG_TEXT + SERVICE);
    const commands = new Map<string, string>();
    let minRunning = Infinity;
    for (const worker of fixture.deployment.workers.values()) {
        for (const report of worker.exchange({ epoch: 1000, sequence: 0, commands: [] })._unsafeUnwrap().reports) {
            commands.set(report.task.taskId, report.task.payload);
        }
        worker.onTaskEvent(({ task, state }) => {
            if (state === WorkerTaskState.Running) {
                commands.set(task.taskId, task.payload);
            }
            else {
                commands.delete(task.taskId);
            }
            minRunning = Math.min(minRunning, commands.size);
        });
    }
    t.is(commands.size, 9);
    const { config } = fixture.deployment.process("vantaa-entry-0").process;
    const changed = SERVICE.replace("command = \"parts-database\"", "command = \"parts-database-2\"")
        .replace("processors = 1", "processors = 2");
    const applied = await fixture.deployment.timer.advanceUntil(
        config.apply(RECOVERY_CONFIG_TEXT + changed, config.version)
    );
    t.true(applied.isOk());
    await fixture.advance(600);
    fixture.deployment.kill(fixture.ownerOf("vantaa")!);
    await fixture.advance(30_000);
    t.deepEqual([...commands.values()], new Array<string>(9).fill("parts-database-2"));
    t.is(minRunning, 9);
    t.deepEqual(fixture.duplicateRuns, []);
});

test("an hour without the store causes no burst of calls, and no accepted request is lost", async t => {
    const fixture = await RecoveryFixture.start();
    const accepted = await Promise.all(
        [1, 2, 3].map(() => fixture.submit("vantaa-entry-1", RecoveryFixture.batchJob(20))).map(
            reply => fixture.deployment.timer.advanceUntil(reply)
        )
    );
    const { table } = fixture.deployment;
    const calls: string[] = [];
    table.setFaultPlan(operation => {
        calls.push(operation);
        return { kind: FaultKind.Unavailable, delayMs: 1 };
    });
    await fixture.advance(5000);
    const refused = await fixture.submitAndWait("vantaa-entry-1", RecoveryFixture.batchJob(1));
    t.is(refused.outcome.state, OutcomeState.NotRun);
    t.not(refused.outcome.retryAfterMs, undefined);
    await fixture.advance(HOUR_MS);
    const callsPerSecond = calls.length * 1000 / HOUR_MS;
    t.true(callsPerSecond < 100, `${callsPerSecond} calls a second`);
    const before = table.counts;
    table.setFaultPlan(NO_FAULTS);
    await fixture.advance(1000);
    const reads = table.counts.reads - before.reads;
    t.true(reads < 200, `${reads} reads in the first second`);
    await fixture.advance(10_000);
    for (const reply of accepted) {
        const final = await fixture.describe("oulu-entry-0", reply.requestId!);
        t.is(final.outcome.state, OutcomeState.Done);
    }
    t.is(
        (await fixture.submitAndWait("vantaa-entry-1", RecoveryFixture.batchJob(1))).outcome.state,
        OutcomeState.Accepted
    );
    t.deepEqual(fixture.duplicateRuns, []);
    t.log(`${Math.round(callsPerSecond)} calls a second in the outage, ${reads} reads in the first second after it`);
});
