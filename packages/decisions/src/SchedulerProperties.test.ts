import type { Resources } from "@skylarkpath/common/model/Resources";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { GroupKind, TaskEnd } from "@skylarkpath/common/scheduling/TaskScheduler";
import test from "ava";
import fc from "fast-check";
import { SliceTaskScheduler } from "./SliceTaskScheduler.js";
import { SchedulerModel } from "./testing/SchedulerModel.js";

type Step =
    | { readonly kind: "submit"; readonly group: number; readonly shape: GroupShape; }
    | { readonly kind: "end"; readonly position: number; readonly end: TaskEnd; }
    | { readonly kind: "worker"; readonly worker: number; readonly cores: number; readonly schedulable: boolean; }
    | { readonly kind: "removeWorker" | "withdraw" | "unknown"; readonly number: number; }
    | { readonly kind: "allot"; readonly team: number; readonly cores: number; }
    | { readonly kind: "wait"; readonly durationMs: number; };

interface GroupShape {
    readonly team: number;
    readonly kind: GroupKind;
    readonly urgent: boolean;
    readonly cores: number;
    readonly gibibytes: number;
    readonly count: number;
    readonly checkpointable: boolean;
}

const SEED = 20_261_204;
const RUNS = 400;
const WORKERS = 5;
const TEAMS = 3;
const START_CORES = 8;

const groupShape = fc.record({
    team: fc.nat(TEAMS - 1),
    kind: fc.constantFrom(GroupKind.Batch, GroupKind.Gang, GroupKind.Service),
    urgent: fc.boolean(),
    cores: fc.integer({ min: 1, max: 10 }),
    gibibytes: fc.integer({ min: 1, max: 10 }),
    count: fc.integer({ min: 1, max: 9 }),
    checkpointable: fc.boolean()
});

const anyStep: fc.Arbitrary<Step> = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("submit"), group: fc.nat(30), shape: groupShape }) },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("end"),
            position: fc.nat(50),
            end: fc.constantFrom(TaskEnd.Succeeded, TaskEnd.Failed, TaskEnd.Requeued, TaskEnd.Cancelled)
        })
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("worker"),
            worker: fc.nat(WORKERS),
            cores: fc.integer({ min: 0, max: 12 }),
            schedulable: fc.boolean()
        })
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constantFrom("removeWorker", "withdraw", "unknown"), number: fc.nat(30) })
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("allot"),
            team: fc.nat(TEAMS - 1),
            cores: fc.integer({ min: 0, max: 40 })
        })
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("wait"), durationMs: fc.integer({ min: 1, max: 4000 }) }) }
);

function createResources(cores: number, gibibytes = cores): Resources {
    return { processorMillicores: cores * 1000, memoryBytes: gibibytes * 2 ** 30, accelerators: cores >> 2 };
}

function submit(model: SchedulerModel, group: number, shape: GroupShape, nowMs: number): void {
    const groupId = `g${group}`;
    if (model.groups.has(groupId)) {
        return;
    }
    model.submit({
        groupId,
        team: `team${shape.team}`,
        kind: shape.kind,
        urgent: shape.urgent,
        resources: createResources(shape.cores, shape.gibibytes),
        taskIds: [...Array(shape.count).keys()].map(task => `${groupId}-${task}`),
        profile: `profile${shape.team}`,
        declaredDurationMs: 1000,
        checkpointable: shape.checkpointable,
        deadlineAtMs: nowMs + 5000,
        submittedAtMs: nowMs
    });
}

function apply(scheduler: SliceTaskScheduler, model: SchedulerModel, step: Step, nowMs: number): void {
    switch (step.kind) {
        case "submit":
            submit(model, step.group, step.shape, nowMs);
            break;
        case "end": {
            const taskIds = [...model.running.keys()];
            if (taskIds.length > 0) {
                model.end(taskIds[step.position % taskIds.length]!, step.end, nowMs);
            }
            break;
        }
        case "worker":
            model.setWorker(`w${step.worker}`, createResources(step.cores), step.schedulable);
            break;
        case "removeWorker":
            model.removeWorker(`w${step.number % WORKERS}`);
            break;
        case "withdraw":
            model.withdraw(`g${step.number}`);
            break;
        case "unknown":
            scheduler.taskEnded("unknown", TaskEnd.Failed, nowMs);
            scheduler.adopt("unknown", "unknown", "w0", nowMs);
            break;
        case "allot":
            model.setTeam(`team${step.team}`, createResources(step.cores));
            break;
        case "wait":
            break;
    }
}

test("respects capacity, allotments and whole gangs under any sequence of operations", t => {
    t.log(`seed ${SEED}`);
    fc.assert(
        fc.property(fc.array(anyStep, { minLength: 10, maxLength: 120 }), steps => {
            const scheduler = new SliceTaskScheduler(createSeededRandom(SEED), { infeasibleGraceMs: 3000 });
            const model = new SchedulerModel(scheduler);
            for (let worker = 0; worker < WORKERS; worker++) {
                model.setWorker(`w${worker}`, createResources(START_CORES));
            }
            for (let team = 0; team < TEAMS; team++) {
                model.setTeam(`team${team}`, createResources(2 * START_CORES));
            }
            let nowMs = 0;
            for (const step of steps) {
                nowMs += step.kind === "wait" ? step.durationMs : 0;
                apply(scheduler, model, step, nowMs);
                model.decide(nowMs);
            }
            if (model.faults.length > 0) {
                throw new Error(model.faults.join("; "));
            }
        }),
        { seed: SEED, numRuns: RUNS }
    );
    t.pass();
});

test("leaves no task waiting that fits on a worker when nothing is delayed or reserved", t => {
    t.log(`seed ${SEED}`);
    fc.assert(
        fc.property(fc.array(anyStep, { minLength: 10, maxLength: 120 }), steps => {
            const options = { taskReservationDelayMs: Number.POSITIVE_INFINITY };
            const scheduler = new SliceTaskScheduler(createSeededRandom(SEED), options);
            const model = new SchedulerModel(scheduler);
            for (let worker = 0; worker <= WORKERS; worker++) {
                model.setWorker(`w${worker}`, createResources(START_CORES));
            }
            for (let team = 0; team < TEAMS; team++) {
                model.setTeam(`team${team}`, createResources(2 * START_CORES));
            }
            let nowMs = 0;
            for (const step of steps) {
                nowMs += step.kind === "wait" ? step.durationMs : 0;
                apply(scheduler, model, onlyPlainBatches(step), nowMs);
                model.decide(nowMs);
                model.checkNoWaitingTaskFits();
            }
            if (model.faults.length > 0) {
                throw new Error(model.faults.join("; "));
            }
        }),
        { seed: SEED, numRuns: RUNS }
    );
    t.pass();
});

/** Removes failures, gangs, services and urgent work from a step, so that nothing is delayed or reserved. */
function onlyPlainBatches(step: Step): Step {
    if (step.kind === "submit") {
        return { ...step, shape: { ...step.shape, kind: GroupKind.Batch, urgent: false } };
    }
    if (step.kind === "end" && step.end === TaskEnd.Failed) {
        return { ...step, end: TaskEnd.Requeued };
    }
    return step;
}
