import { GroupKind, TaskEnd, WaitCause } from "@skylarkpath/common/scheduling/TaskScheduler";
import test from "ava";
import { cores, createFixture, createGroup, decideUntil } from "../testing/taskFixtures.js";

function createGang(groupId: string, count: number, deadlineAtMs: number): ReturnType<typeof createGroup> {
    return createGroup(groupId, count, { kind: GroupKind.Gang, resources: cores(2), deadlineAtMs });
}

test("two gangs that could block each other start one after the other, the earlier deadline first", t => {
    const { model, scheduler } = createFixture(4, 4);
    model.submit(createGroup("fill", 16, { declaredDurationMs: 500 }));
    model.decide(0);
    model.submit(createGang("late", 6, 100_000));
    model.submit(createGang("soon", 6, 20_000));
    decideUntil(model, 100, 3000);
    t.is(scheduler.explain("soon", 3000)?.cause, WaitCause.Reservation);
    for (let task = 0; task < 16; task++) {
        model.end(`fill-${task}`, TaskEnd.Succeeded, 3100 + task);
        model.decide(3100 + task);
    }
    const started = decideUntil(model, 3200, 4000);
    t.deepEqual(model.faults, []);
    t.true([...model.running.keys()].every(taskId => taskId.startsWith("soon")));
    t.is(model.running.size, 6);
    t.false(started.some(taskId => taskId.startsWith("late")));
    for (const taskId of [...model.running.keys()]) {
        model.end(taskId, TaskEnd.Succeeded, 5000);
    }
    decideUntil(model, 5000, 6000);
    t.is([...model.running.keys()].filter(taskId => taskId.startsWith("late")).length, 6);
});

test("a gang starts while small tasks keep arriving", t => {
    const { model } = createFixture(4, 4);
    let next = 0;
    for (let group = 0; group < 16; group++) {
        model.submit(createGroup(`small${next++}`, 1, { profile: "small", declaredDurationMs: 700 }));
    }
    model.decide(0);
    model.submit(createGang("gang", 6, 30_000));
    let startedAtMs: number | undefined;
    for (let nowMs = 50; nowMs <= 20_000 && startedAtMs === undefined; nowMs += 50) {
        const [oldest] = model.running.keys();
        model.end(oldest!, TaskEnd.Succeeded, nowMs);
        model.submit(createGroup(`small${next++}`, 1, { profile: "small", submittedAtMs: nowMs }));
        const started = model.decide(nowMs);
        startedAtMs = started.includes("gang-0") ? nowMs : undefined;
    }
    t.deepEqual(model.faults, []);
    t.true(startedAtMs !== undefined && startedAtMs < 10_000);
});

test("short tasks run on reserved workers and long ones do not", t => {
    const { model } = createFixture(2, 4);
    model.submit(createGroup("long", 1, { resources: cores(4), declaredDurationMs: 60_000 }));
    model.submit(createGroup("half", 2, { declaredDurationMs: 60_000 }));
    model.decide(0);
    model.submit(createGroup("gang", 2, { kind: GroupKind.Gang, resources: cores(4), deadlineAtMs: 70_000 }));
    decideUntil(model, 100, 3000);
    model.submit(createGroup("tooLong", 1, { declaredDurationMs: 120_000, submittedAtMs: 3000 }));
    t.deepEqual(decideUntil(model, 3050, 3200), []);
    model.submit(createGroup("short", 1, { resources: cores(2), declaredDurationMs: 5000, submittedAtMs: 3200 }));
    model.end("half-0", TaskEnd.Succeeded, 3300);
    t.deepEqual(decideUntil(model, 3300, 3400), ["short-0"]);
});

test("a gang that cannot fit is rejected with the capacity of the workers, and blocks no other tasks meanwhile", t => {
    const { model, scheduler } = createFixture(2, 4);
    model.submit(createGang("never", 5, 60_000));
    model.submit(createGroup("small", 8));
    t.is(model.decide(0).length, 8);
    t.is(scheduler.explain("never", 0)?.cause, WaitCause.Size);
    decideUntil(model, 1000, 29_000, 1000);
    t.is(model.rejected.size, 0);
    decideUntil(model, 30_000, 31_000, 1000);
    t.regex(model.rejected.get("never")!, /5 tasks of 2000 millicores.*hold 4 of them/);
});

test("a gang that lost half of its members gets them replaced at once, or the others are stopped", t => {
    for (const hasSpareWorker of [true, false]) {
        const { model } = createFixture(hasSpareWorker ? 3 : 2, 4);
        model.submit(createGang("gang", 4, 60_000));
        t.is(model.decide(0).length, 4);
        const { workerId } = model.running.get("gang-0")!;
        const lost = [...model.running].filter(([, task]) => task.workerId === workerId).map(([taskId]) => taskId);
        t.is(lost.length, 2);
        model.removeWorker(workerId);
        lost.forEach(taskId => model.end(taskId, TaskEnd.Requeued, 100));
        t.is(decideUntil(model, 100, 1000).length, hasSpareWorker ? 2 : 0);
        decideUntil(model, 1050, 3000);
        t.is(model.preemptions.length, hasSpareWorker ? 0 : 2);
        t.deepEqual(model.faults, []);
    }
});
