import type { Resources } from "@skylarkpath/common/model/Resources";
import { GroupKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import { constant, logNormal, oneOf } from "./Distribution.js";
import type { GroupStream, TaskWorkloadShape, WorkerClass, WorkloadTeam } from "./TaskWorkload.js";

const GIBIBYTE = 2 ** 30;
const MINUTE_MS = 60_000;
/** Ratio of declared to actual run times: two standard deviations are a factor of ten. */
const DECLARED_DURATION_ERROR = logNormal(1, Math.log(10) / 2);

/** Creates resources from cores, memory in GiB and accelerators. */
export function resourcesOf(cores: number, memoryGibibytes: number, accelerators = 0): Resources {
    return { processorMillicores: cores * 1000, memoryBytes: memoryGibibytes * GIBIBYTE, accelerators };
}

const TODAY_WORKERS: readonly WorkerClass[] = [
    { count: 24, capacity: resourcesOf(16, 64) },
    { count: 6, capacity: resourcesOf(16, 64, 2) }
];

const TODAY_TEAMS: readonly WorkloadTeam[] = [
    { name: "large-a", share: 4, demand: 5, allottedFraction: 0.7 },
    { name: "large-b", share: 3, demand: 3, allottedFraction: 0.7 },
    { name: "small-a", share: 1, demand: 1, allottedFraction: 0.5 },
    { name: "small-b", share: 1, demand: 1, allottedFraction: 0.5 },
    { name: "small-c", share: 1, demand: 1, allottedFraction: 0.5 },
    { name: "small-d", share: 1, demand: 1, allottedFraction: 0.5 }
];

/** Gangs of weekly analyses among batches of sensor data, with services and a few urgent requests. */
export const TRIALS_SHAPE: TaskWorkloadShape = {
    name: "trials",
    seed: 1001,
    durationMs: 60 * MINUTE_MS,
    workersPerRack: 8,
    workers: TODAY_WORKERS,
    teams: TODAY_TEAMS,
    streams: [
        createServiceStream(0.05),
        createBatchStream({
            groupsPerSecond: 0.72,
            sizes: [resourcesOf(1, 4), resourcesOf(2, 4), resourcesOf(2, 12), resourcesOf(4, 8)],
            durationMs: logNormal(30_000, 0.5)
        }),
        createBatchStream({
            name: "short",
            groupsPerSecond: 1.7,
            sizes: [resourcesOf(1, 4), resourcesOf(2, 4), resourcesOf(1, 6)],
            durationMs: logNormal(3_000, 0.5)
        }),
        {
            name: "gang",
            kind: GroupKind.Gang,
            urgent: false,
            groupsPerSecond: 1 / 60,
            tasksPerGroup: oneOf([8, 16, 24]),
            sizes: [resourcesOf(4, 8), resourcesOf(4, 16)],
            durationMs: logNormal(MINUTE_MS, 0.3),
            declaredDurationFactor: DECLARED_DURATION_ERROR,
            checkpointable: true,
            deadlineAfterMs: 10 * MINUTE_MS
        },
        createUrgentStream(0.05)
    ]
};

/** Overnight reports, all due by the morning: many small batches with services and urgent requests, but no gangs. */
export const REPORTS_SHAPE: TaskWorkloadShape = {
    name: "reports",
    seed: 2001,
    durationMs: 60 * MINUTE_MS,
    workersPerRack: 8,
    workers: TODAY_WORKERS,
    teams: TODAY_TEAMS,
    streams: [
        createServiceStream(0.05),
        createBatchStream({
            groupsPerSecond: 3.1,
            sizes: [resourcesOf(0.5, 1), resourcesOf(1, 2), resourcesOf(1, 8), resourcesOf(2, 4)]
        }),
        createUrgentStream(0.1)
    ]
};

/** Saturated fleet: every team submits more work than its share, and one team 50 times its share. */
export const SATURATED_SHAPE: TaskWorkloadShape = {
    ...TRIALS_SHAPE,
    name: "saturated",
    seed: 3001,
    durationMs: 30 * MINUTE_MS,
    teams: TODAY_TEAMS.map(team => ({
        ...team,
        allottedFraction: 1,
        demand: team.name === "small-d" ? 50 : team.share * 1.3
    })),
    streams: [
        createBatchStream({
            groupsPerSecond: 12,
            sizes: [resourcesOf(1, 4), resourcesOf(2, 4), resourcesOf(2, 12), resourcesOf(4, 8), resourcesOf(1, 3)]
        })
    ]
};

/** Slice at the projected future size in which every team submits a third more work than its share. */
export const FUTURE_SHAPE: TaskWorkloadShape = {
    name: "future slice, saturated",
    seed: 4001,
    durationMs: 150_000,
    workersPerRack: 40,
    workers: [{ count: 1530, capacity: resourcesOf(16, 64) }, { count: 170, capacity: resourcesOf(16, 64, 8) }],
    teams: [...Array(230).keys()].map(team => ({
        name: `team${team}`,
        share: 1 + team % 5,
        demand: 1 + team % 5,
        allottedFraction: 1
    })),
    streams: [
        createBatchStream({
            groupsPerSecond: 300,
            sizes: [
                resourcesOf(0.25, 1),
                resourcesOf(0.5, 1),
                resourcesOf(0.5, 2),
                resourcesOf(1, 3),
                resourcesOf(1, 6),
                resourcesOf(2, 4)
            ]
        }),
        {
            name: "gang",
            kind: GroupKind.Gang,
            urgent: false,
            groupsPerSecond: 1,
            tasksPerGroup: oneOf([8, 16, 32]),
            sizes: [resourcesOf(1, 4), resourcesOf(2, 8)],
            durationMs: logNormal(20_000, 0.3),
            declaredDurationFactor: DECLARED_DURATION_ERROR,
            checkpointable: true,
            deadlineAfterMs: 90_000
        },
        createUrgentStream(2)
    ]
};

function createBatchStream(overrides: Partial<GroupStream>): GroupStream {
    return {
        name: "batch",
        kind: GroupKind.Batch,
        urgent: false,
        groupsPerSecond: 1,
        tasksPerGroup: oneOf([1, 2, 4, 8, 16]),
        sizes: [resourcesOf(1, 4)],
        durationMs: logNormal(15_000, 0.8),
        declaredDurationFactor: DECLARED_DURATION_ERROR,
        checkpointable: false,
        deadlineAfterMs: 60 * MINUTE_MS,
        ...overrides
    };
}

/** Creates a stream of services; it submits a tenth of the given rate in groups of two tasks. */
function createServiceStream(groupsPerSecond: number): GroupStream {
    return {
        name: "service",
        kind: GroupKind.Service,
        urgent: false,
        groupsPerSecond: groupsPerSecond / 10,
        tasksPerGroup: constant(2),
        sizes: [resourcesOf(0.5, 1)],
        durationMs: constant(1),
        declaredDurationFactor: constant(1),
        checkpointable: false
    };
}

function createUrgentStream(groupsPerSecond: number): GroupStream {
    return {
        name: "urgent",
        kind: GroupKind.Batch,
        urgent: true,
        groupsPerSecond,
        tasksPerGroup: oneOf([1, 2]),
        sizes: [resourcesOf(2, 4), resourcesOf(4, 8)],
        durationMs: logNormal(20_000, 0.5),
        declaredDurationFactor: DECLARED_DURATION_ERROR,
        checkpointable: false,
        deadlineAfterMs: 5 * MINUTE_MS
    };
}
