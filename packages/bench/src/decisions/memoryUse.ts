import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { GroupKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { MeasuredRow } from "./report.js";
import { resourcesOf } from "./taskShapes.js";

interface MemoryShape {
    readonly workers: number;
    readonly teams: number;
    readonly tasks: number;
    readonly coresPerWorker: number;
}

const SEED = 6001;
const TASKS_PER_GROUP = 8;
/** Tasks of a slice at the projected future size. */
const FUTURE_TASKS = 31_000;

/** Measures the heap usage of a scheduler, and its growth for each further worker, task and team. */
export function measureMemory(): readonly MeasuredRow[] {
    const baseShape: MemoryShape = { workers: 1_700, teams: 230, tasks: FUTURE_TASKS, coresPerWorker: 64 };
    const baseBytes = measureSchedulerBytes(baseShape);
    const idleBytes = measureSchedulerBytes({ ...baseShape, tasks: 0, coresPerWorker: 0 });
    return [
        { what: "scheduler of a slice of the future", bytes: baseBytes },
        {
            what: "each worker",
            bytes: bytesPerItem(baseBytes, measureSchedulerBytes({ ...baseShape, workers: 3_400 }), 1_700)
        },
        {
            what: "each running task",
            bytes: bytesPerItem(
                baseBytes,
                measureSchedulerBytes({ ...baseShape, tasks: 2 * FUTURE_TASKS }),
                FUTURE_TASKS
            )
        },
        {
            what: "each waiting task",
            bytes: bytesPerItem(idleBytes, measureSchedulerBytes({ ...baseShape, coresPerWorker: 0 }), FUTURE_TASKS)
        },
        {
            what: "each team",
            bytes: bytesPerItem(baseBytes, measureSchedulerBytes({ ...baseShape, teams: 1_150 }), 920)
        }
    ];
}

function bytesPerItem(smallerBytes: number, largerBytes: number, count: number): number {
    return Math.round((largerBytes - smallerBytes) / count);
}

function measureSchedulerBytes(shape: MemoryShape): number {
    const bytesBefore = measureHeapBytes();
    const scheduler = createFilledScheduler(shape);
    const bytesAfter = measureHeapBytes();
    // This use prevents the scheduler from being collected before the second measurement.
    scheduler.explain("none", 0);
    return bytesAfter - bytesBefore;
}

function createFilledScheduler(shape: MemoryShape): SliceTaskScheduler {
    const scheduler = new SliceTaskScheduler(createSeededRandom(SEED));
    for (let worker = 0; worker < shape.workers; worker++) {
        const capacity = resourcesOf(shape.coresPerWorker, 4 * shape.coresPerWorker);
        scheduler.upsertWorker({
            workerId: `worker${worker}`,
            rack: `rack${worker % 40}`,
            capacity,
            schedulable: true
        });
    }
    const resources = resourcesOf(1_000_000, 4_000_000);
    const policy = { share: 1, allotment: { resources, slots: 0 } };
    scheduler.setTeams(new Map([...Array(shape.teams).keys()].map(team => [`team${team}`, policy])));
    for (let group = 0; group < shape.tasks / TASKS_PER_GROUP; group++) {
        scheduler.submit({
            groupId: `group${group}`,
            team: `team${group % shape.teams}`,
            kind: GroupKind.Batch,
            urgent: false,
            resources: resourcesOf(0.5, 1),
            taskIds: [...Array(TASKS_PER_GROUP).keys()].map(task => `group${group}-${task}`),
            profile: `profile${group % 50}`,
            declaredDurationMs: 1000,
            checkpointable: false,
            submittedAtMs: 0
        });
    }
    do {
        scheduler.decide(0);
    }
    while (scheduler.hasMore());
    return scheduler;
}

function measureHeapBytes(): number {
    setFlagsFromString("--expose-gc");
    const collectGarbage = runInNewContext("gc") as () => void;
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
}
