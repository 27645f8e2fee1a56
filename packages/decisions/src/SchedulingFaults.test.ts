import { GroupKind, TaskEnd, WaitCause } from "@skylarkpath/common/scheduling/TaskScheduler";
import test from "ava";
import { cores, createFixture, createGroup, decideUntil } from "./testing/taskFixtures.js";

test("a group whose task always fails is rejected and its workers stay in use", t => {
    const { model } = createFixture(6, 4);
    model.submit(createGroup("broken", 1));
    for (let nowMs = 0; nowMs < 60_000 && !model.rejected.has("broken"); nowMs += 100) {
        model.decide(nowMs);
        if (model.running.has("broken-0")) {
            model.end("broken-0", TaskEnd.Failed, nowMs + 50);
        }
    }
    t.regex(model.rejected.get("broken")!, /failed in 3 attempts on workers w\d, w\d, w\d/);
    model.submit(createGroup("good", 24));
    t.is(model.decide(60_000).length, 24);
    t.deepEqual(model.faults, []);
});

test("a worker on which every task fails is quarantined and its tasks run elsewhere", t => {
    const { model } = createFixture(4, 4);
    let failedOnBad = 0;
    for (let group = 0; group < 40; group++) {
        const nowMs = group * 500;
        for (let part = 0; part < 16; part++) {
            model.submit(createGroup(`g${group}-${part}`, 1, { submittedAtMs: nowMs, profile: "p" }));
        }
        model.decide(nowMs);
        for (const [taskId, { workerId }] of [...model.running]) {
            failedOnBad += workerId === "w3" ? 1 : 0;
            model.end(taskId, workerId === "w3" ? TaskEnd.Failed : TaskEnd.Succeeded, nowMs + 100);
        }
    }
    t.is(model.rejected.size, 0);
    t.is(failedOnBad, 4);
    t.is(model.running.size, 0);
    t.deepEqual(model.faults, []);
});

test("a task larger than every worker is rejected with its size and the largest worker", t => {
    const { model, scheduler } = createFixture(2, 4);
    model.submit(createGroup("huge", 1, { resources: cores(5) }));
    decideUntil(model, 0, 29_000, 1000);
    t.is(scheduler.explain("huge", 29_000)?.cause, WaitCause.Size);
    decideUntil(model, 30_000, 31_000, 1000);
    t.regex(model.rejected.get("huge")!, /needs 5000 millicores.*w[01], holds 4000 millicores/);
});

test("a task is not rejected for its size when a large enough worker appears in time", t => {
    const { model } = createFixture(2, 4);
    model.submit(createGroup("large", 1, { resources: cores(8) }));
    decideUntil(model, 0, 20_000, 1000);
    model.setWorker("w9", cores(8));
    t.deepEqual(decideUntil(model, 21_000, 40_000, 1000), ["large-0"]);
    t.is(model.rejected.size, 0);
});

test("cancelling 10,000 groups leaves none of their tasks to start and does not affect other groups", t => {
    const { model, scheduler } = createFixture(2, 4);
    model.submit(createGroup("first", 8));
    model.decide(0);
    for (let group = 0; group < 10_000; group++) {
        scheduler.submit(createGroup(`g${group}`, 1, { resources: cores(1 + group % 3) }));
    }
    model.submit(createGroup("kept", 1));
    model.decide(1);
    for (let group = 0; group < 10_000; group++) {
        scheduler.withdraw(`g${group}`);
    }
    model.end("first-0", TaskEnd.Succeeded, 2);
    t.deepEqual(model.decide(2), ["kept-0"]);
    model.end("first-1", TaskEnd.Succeeded, 3);
    t.deepEqual(decideUntil(model, 3, 5000), []);
    t.is(scheduler.explain("g5", 3), undefined);
});

test("a team that submits 50 times its share does not starve the others", t => {
    const { model } = createFixture(10, 4);
    model.submit(createGroup("flood", 500));
    model.submit(createGroup("modest", 10, { team: "b" }));
    model.decide(0);
    t.is(model.usageOf("b").processorMillicores, 10_000);
    t.is(model.usageOf("a").processorMillicores, 30_000);
    model.submit(createGroup("more", 40, { team: "b" }));
    for (let task = 0; task < 30; task++) {
        model.end(`flood-${task}`, TaskEnd.Succeeded, 100 + task);
        model.decide(100 + task);
    }
    t.is(model.usageOf("b").processorMillicores, 20_000);
});

test("230 teams get equal shares of a full fleet", t => {
    const { model, scheduler } = createFixture(115, 4);
    for (let team = 0; team < 230; team++) {
        model.setTeam(`team${team}`, cores(460));
        model.submit(createGroup(`g${team}`, team === 0 ? 200 : 4, { team: `team${team}` }));
    }
    t.is(model.decide(0).length, 250);
    t.true(scheduler.hasMore());
    t.is(model.decide(0).length, 210);
    t.false(scheduler.hasMore());
    const used = [...Array(230).keys()].map(team => model.usageOf(`team${team}`).processorMillicores);
    t.deepEqual(new Set(used), new Set([2000]));
});

test("run times declared ten times too long or too short are corrected by the measured ones", t => {
    for (const factor of [0.1, 10]) {
        const { model, scheduler } = createFixture(2, 4);
        for (let group = 0; group < 20; group++) {
            model.submit(createGroup(`g${group}`, 1, { profile: "p", declaredDurationMs: 10_000 * factor }));
            model.decide(group * 20_000);
            model.end(`g${group}-0`, TaskEnd.Succeeded, group * 20_000 + 10_000);
        }
        const changes = { resources: cores(4), submittedAtMs: 400_000, declaredDurationMs: 10_000 * factor };
        model.submit(createGroup("long", 2, { ...changes, profile: "p" }));
        model.decide(400_000);
        model.submit(createGroup("gang", 2, { ...changes, kind: GroupKind.Gang }));
        decideUntil(model, 400_050, 403_000);
        const detail = scheduler.explain("gang", 403_000)!.detail;
        const expectedMs = Number(/expected to start in (\d+) ms/.exec(detail)![1]);
        t.true(expectedMs > 5000 && expectedMs < 9500, detail);
    }
});

test("service replicas are spread over racks and placed before batch tasks", t => {
    const { model } = createFixture(6, 4);
    model.submit(createGroup("batch", 30));
    model.submit(createGroup("service", 3, { kind: GroupKind.Service, deadlineAtMs: undefined, team: "b" }));
    model.decide(0);
    const workers = [...model.running].filter(([taskId]) => taskId.startsWith("service")).map(([, task]) =>
        task.workerId
    );
    t.deepEqual(model.faults, []);
    const racks = workers.map(workerId => Math.floor(Number(workerId.slice(1)) / 2));
    t.is(new Set(racks).size, 3);
    model.end("service-0", TaskEnd.Failed, 100);
    model.decide(200);
    model.end("batch-0", TaskEnd.Succeeded, 500);
    t.deepEqual(model.decide(500), ["service-0"]);
});

test("a task found on two workers is counted on both until it ends", t => {
    const { model, scheduler } = createFixture(2, 4);
    scheduler.submit(createGroup("g", 1, { resources: cores(3) }));
    scheduler.adopt("g-0", "g", "w0", 0);
    scheduler.adopt("g-0", "g", "w1", 0);
    t.is(scheduler.usage("a").processorMillicores, 6000);
    scheduler.submit(createGroup("next", 2, { resources: cores(4), submittedAtMs: 1 }));
    t.is(scheduler.decide(1).length, 0);
    scheduler.taskEnded("g-0", TaskEnd.Succeeded, 2);
    t.is(scheduler.usage("a").processorMillicores, 0);
    t.is(scheduler.decide(2).length, 2);
    t.deepEqual(model.faults, []);
});

test("a task adopted on an unknown worker uses capacity there once the worker appears", t => {
    const { model, scheduler } = createFixture(0, 0);
    scheduler.submit(createGroup("g", 2, { resources: cores(3) }));
    scheduler.adopt("g-0", "g", "w0", 0);
    model.setWorker("w0", cores(4));
    t.is(scheduler.decide(0).length, 0);
    scheduler.taskEnded("g-0", TaskEnd.Succeeded, 1);
    t.is(scheduler.decide(1).length, 1);
});
