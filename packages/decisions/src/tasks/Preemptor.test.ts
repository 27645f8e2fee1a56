import { DecisionKind, TaskEnd } from "@skylarkpath/common/scheduling/TaskScheduler";
import test from "ava";
import { cores, createFixture, createGroup, decideUntil } from "../testing/taskFixtures.js";

test("throttles, checkpoints and stops the cheapest task, then starts the urgent one on its worker", t => {
    const { model } = createFixture(2, 4);
    model.submit(createGroup("costly", 4, { checkpointable: false }));
    model.decide(0);
    model.submit(createGroup("cheap", 4, { checkpointable: true, team: "b" }));
    model.decide(20_000);
    model.submit(createGroup("urgent", 1, { urgent: true, submittedAtMs: 30_000 }));
    let stoppedAtMs: number | undefined;
    for (let nowMs = 30_000; nowMs < 33_900 && !model.running.has("urgent-0"); nowMs += 50) {
        model.decide(nowMs);
        const last = model.preemptions.at(-1);
        if (last?.kind === DecisionKind.Stop && stoppedAtMs === undefined) {
            stoppedAtMs = nowMs;
            model.end(last.taskId, TaskEnd.Requeued, nowMs);
        }
    }
    t.true(model.running.has("urgent-0"));
    t.deepEqual(model.preemptions.map(({ kind }) => kind), [
        DecisionKind.Throttle,
        DecisionKind.Checkpoint,
        DecisionKind.Stop
    ]);
    t.true(model.preemptions.every(({ taskId }) => taskId.startsWith("cheap")));
    t.deepEqual(model.faults, []);
});

test("stops only tasks of the same team for a team at its allotment", t => {
    const { model } = createFixture(2, 4);
    model.setTeam("a", cores(4));
    model.submit(createGroup("own", 4));
    model.submit(createGroup("other", 4, { team: "b" }));
    model.decide(0);
    model.submit(createGroup("urgent", 1, { urgent: true }));
    decideUntil(model, 50, 2500);
    const stopped = model.preemptions.filter(({ kind }) => kind === DecisionKind.Stop);
    t.is(stopped.length, 1);
    t.true(stopped[0]!.taskId.startsWith("own"));
    t.false(model.running.has("urgent-0"));
    model.end(stopped[0]!.taskId, TaskEnd.Requeued, 2550);
    t.deepEqual(decideUntil(model, 2550, 2600), ["urgent-0"]);
    t.deepEqual(model.faults, []);
});

test("never stops services or urgent tasks", t => {
    const { model } = createFixture(1, 4);
    model.submit(createGroup("first", 4, { urgent: true }));
    model.decide(0);
    model.submit(createGroup("second", 1, { urgent: true, submittedAtMs: 1000 }));
    decideUntil(model, 1000, 9000);
    t.is(model.preemptions.length, 0);
});

test("preempts nothing when capacity is freed in time", t => {
    const { model } = createFixture(1, 4);
    model.submit(createGroup("batch", 4));
    model.decide(0);
    model.submit(createGroup("urgent", 1, { urgent: true, submittedAtMs: 1000 }));
    decideUntil(model, 1000, 1500);
    model.end("batch-0", TaskEnd.Succeeded, 1500);
    t.deepEqual(model.decide(1500), ["urgent-0"]);
    t.is(model.preemptions.length, 0);
});

test("chooses another victim when a stopped one does not end", t => {
    const { model } = createFixture(2, 4);
    model.submit(createGroup("batch", 8));
    model.decide(0);
    model.submit(createGroup("urgent", 1, { urgent: true, submittedAtMs: 1000 }));
    decideUntil(model, 1000, 6000);
    const stopped = model.preemptions.filter(({ kind }) => kind === DecisionKind.Stop).map(({ taskId }) => taskId);
    t.true(stopped.length >= 2);
    t.is(new Set(stopped).size, stopped.length);
    model.end(stopped[1]!, TaskEnd.Requeued, 6050);
    t.deepEqual(decideUntil(model, 6050, 6100), ["urgent-0"]);
});
