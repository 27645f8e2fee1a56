import type { Resources } from "@skylarkpath/common/model/Resources";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import {
    DecisionKind,
    GroupKind,
    TaskEnd,
    type TaskGroup,
    type TaskScheduler,
    WaitCause
} from "@skylarkpath/common/scheduling/TaskScheduler";
import test from "ava";
import { SliceTaskScheduler } from "./SliceTaskScheduler.js";

const SEED = 11;
const GIB = 2 ** 30;
const ONE_CORE: Resources = { processorMillicores: 1000, memoryBytes: GIB, accelerators: 0 };
const WORKER: Resources = { processorMillicores: 4000, memoryBytes: 16 * GIB, accelerators: 0 };

function createGroup(groupId: string, count: number, changes: Partial<TaskGroup> = {}): TaskGroup {
    return {
        groupId,
        team: "trials",
        kind: GroupKind.Batch,
        urgent: false,
        resources: ONE_CORE,
        taskIds: [...Array(count).keys()].map(task => `${groupId}-${task}`),
        profile: "profile",
        declaredDurationMs: 1000,
        checkpointable: false,
        deadlineAtMs: 60_000,
        submittedAtMs: 0,
        ...changes
    };
}

function createScheduler(workerCount: number, allowedCores = 1000): TaskScheduler {
    const scheduler = new SliceTaskScheduler(createSeededRandom(SEED));
    for (let worker = 0; worker < workerCount; worker++) {
        scheduler.upsertWorker({ workerId: `w${worker}`, rack: "r0", capacity: WORKER, schedulable: true });
    }
    const resources = { processorMillicores: allowedCores * 1000, memoryBytes: 1000 * GIB, accelerators: 8 };
    scheduler.setTeams(new Map([["trials", { share: 1, allotment: { resources, slots: 0 } }]]));
    return scheduler;
}

test("starts the tasks that fit and the remaining ones when tasks end", t => {
    const scheduler = createScheduler(1);
    scheduler.submit(createGroup("g", 5));
    t.is(scheduler.decide(0).length, 4);
    t.is(scheduler.explain("g", 0)?.cause, WaitCause.Share);
    scheduler.taskEnded("g-0", TaskEnd.Succeeded, 10);
    t.deepEqual(scheduler.decide(10), [{ kind: DecisionKind.Start, taskId: "g-4", groupId: "g", workerId: "w0" }]);
    t.is(scheduler.usage("trials").processorMillicores, 4000);
});

test("never exceeds the allotment and counts the tasks of a removed worker until they end", t => {
    const scheduler = createScheduler(4, 3);
    scheduler.submit(createGroup("g", 10));
    const started = scheduler.decide(0);
    t.is(started.length, 3);
    t.is(scheduler.explain("g", 0)?.cause, WaitCause.Limit);
    for (let worker = 0; worker < 4; worker++) {
        scheduler.removeWorker(`w${worker}`);
    }
    scheduler.upsertWorker({ workerId: "new", rack: "r0", capacity: WORKER, schedulable: true });
    t.is(scheduler.decide(1).length, 0);
    scheduler.taskEnded("g-0", TaskEnd.Requeued, 2);
    t.deepEqual(scheduler.decide(2).map(decision => decision.groupId), ["g"]);
});

test("starts a gang as a whole or not at all", t => {
    const scheduler = createScheduler(1);
    scheduler.submit(createGroup("gang", 5, { kind: GroupKind.Gang }));
    t.is(scheduler.decide(0).length, 0);
    scheduler.upsertWorker({ workerId: "w1", rack: "r0", capacity: WORKER, schedulable: true });
    t.is(scheduler.decide(1).length, 5);
});

test("adopts a task only once and starts nothing on a worker that adopted tasks overcommit", t => {
    const scheduler = createScheduler(1);
    scheduler.submit(createGroup("g", 6));
    for (let task = 0; task < 5; task++) {
        scheduler.adopt(`g-${task}`, "g", "w0", 0);
        scheduler.adopt(`g-${task}`, "g", "w0", 0);
    }
    t.is(scheduler.usage("trials").processorMillicores, 5000);
    t.is(scheduler.decide(0).length, 0);
    scheduler.taskEnded("g-0", TaskEnd.Succeeded, 1);
    t.is(scheduler.decide(1).length, 0);
    scheduler.taskEnded("g-1", TaskEnd.Succeeded, 2);
    t.is(scheduler.decide(2).length, 1);
});

test("ignores the end of an unknown task and starts no task of a withdrawn group", t => {
    const scheduler = createScheduler(1);
    scheduler.taskEnded("nothing", TaskEnd.Failed, 0);
    scheduler.submit(createGroup("g", 6));
    scheduler.decide(0);
    t.is(scheduler.withdraw("g").length, 4);
    t.is(scheduler.usage("trials").processorMillicores, 4000);
    scheduler.taskEnded("g-0", TaskEnd.Requeued, 1);
    t.is(scheduler.decide(1).length, 0);
    t.is(scheduler.usage("trials").processorMillicores, 3000);
});
