import type { Resources } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import type { GroupKind, TaskGroup, TeamPolicy, WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type Distribution, exponential } from "./Distribution.js";

/** Workers of equal capacity. */
export interface WorkerClass {
    readonly count: number;
    readonly capacity: Resources;
}

/** Arrival process of similar task groups. */
export interface GroupStream {
    readonly name: string;
    readonly kind: GroupKind;
    readonly urgent: boolean;
    readonly groupsPerSecond: number;
    readonly tasksPerGroup: Distribution;
    /** Resources of a task, drawn uniformly for each group. */
    readonly sizes: readonly Resources[];
    readonly durationMs: Distribution;
    /** Ratio of the declared run time to the mean actual run time. */
    readonly declaredDurationFactor: Distribution;
    readonly checkpointable: boolean;
    readonly deadlineAfterMs?: number;
    /** Teams that submit groups of this stream; absent for all teams. */
    readonly teams?: readonly string[];
}

/** Team that submits groups in a workload. */
export interface WorkloadTeam {
    readonly name: string;
    readonly share: number;
    /** Weight of the team when the submitter of a group is drawn. */
    readonly demand: number;
    /** Fraction of the fleet that the team may use at a time. */
    readonly allottedFraction: number;
}

/** Parameters of a reproducible task workload. */
export interface TaskWorkloadShape {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    readonly workersPerRack: number;
    readonly workers: readonly WorkerClass[];
    readonly teams: readonly WorkloadTeam[];
    readonly streams: readonly GroupStream[];
}

/** Arriving task group with the actual run times of its tasks. */
export interface GroupArrival {
    readonly atMs: number;
    readonly stream: string;
    readonly group: TaskGroup;
    readonly durationsMs: readonly number[];
}

/** Creates the workers of a workload. */
export function createWorkers(shape: TaskWorkloadShape): readonly WorkerView[] {
    const workers: WorkerView[] = [];
    for (const { count, capacity } of shape.workers) {
        for (let worker = 0; worker < count; worker++) {
            const rack = `rack${Math.floor(workers.length / shape.workersPerRack)}`;
            workers.push({ workerId: `worker${workers.length}`, rack, capacity, schedulable: true });
        }
    }
    return workers;
}

/** Total capacity of all workers of a workload. */
export function totalCapacity(shape: TaskWorkloadShape): Resources {
    let [processorMillicores, memoryBytes, accelerators] = [0, 0, 0];
    for (const { count, capacity } of shape.workers) {
        processorMillicores += count * capacity.processorMillicores;
        memoryBytes += count * capacity.memoryBytes;
        accelerators += count * capacity.accelerators;
    }
    return { processorMillicores, memoryBytes, accelerators };
}

/** Creates the share and allotment of each team of a workload. */
export function createTeamPolicies(shape: TaskWorkloadShape): ReadonlyMap<string, TeamPolicy> {
    const total = totalCapacity(shape);
    return new Map(shape.teams.map(team => {
        const resources = {
            processorMillicores: Math.floor(total.processorMillicores * team.allottedFraction),
            memoryBytes: Math.floor(total.memoryBytes * team.allottedFraction),
            accelerators: Math.floor(total.accelerators * team.allottedFraction)
        };
        return [team.name, { share: team.share, allotment: { resources, slots: 0 } }];
    }));
}

/** Creates all arrivals of a workload in order of time; each stream has a random sequence of its own. */
export function createArrivals(shape: TaskWorkloadShape): readonly GroupArrival[] {
    const arrivals: GroupArrival[] = [];
    shape.streams.forEach((stream, streamIndex) => {
        const random = createSeededRandom(shape.seed + streamIndex);
        const drawGapMs = exponential(1000 / stream.groupsPerSecond);
        let groupCount = 0;
        for (let atMs = drawGapMs(random); atMs < shape.durationMs; atMs += drawGapMs(random)) {
            arrivals.push(createArrival(shape, stream, groupCount++, atMs, random));
        }
    });
    return arrivals.sort((left, right) => left.atMs - right.atMs);
}

function createArrival(
    shape: TaskWorkloadShape,
    stream: GroupStream,
    groupIndex: number,
    atMs: number,
    random: RandomSource
): GroupArrival {
    const groupId = `${stream.name}-${groupIndex}`;
    const taskCount = Math.max(1, Math.round(stream.tasksPerGroup(random)));
    const durationsMs = Array.from({ length: taskCount }, () => Math.max(1, stream.durationMs(random)));
    const meanMs = durationsMs.reduce((sum, durationMs) => sum + durationMs, 0) / taskCount;
    const group: TaskGroup = {
        groupId,
        team: drawTeam(shape, stream, random),
        kind: stream.kind,
        urgent: stream.urgent,
        resources: stream.sizes[Math.floor(random.next() * stream.sizes.length)]!,
        taskIds: [...durationsMs.keys()].map(task => `${groupId}-${task}`),
        profile: stream.name,
        declaredDurationMs: meanMs * stream.declaredDurationFactor(random),
        checkpointable: stream.checkpointable,
        deadlineAtMs: stream.deadlineAfterMs === undefined ? undefined : atMs + stream.deadlineAfterMs,
        submittedAtMs: atMs
    };
    return { atMs, stream: stream.name, group, durationsMs };
}

function drawTeam(shape: TaskWorkloadShape, stream: GroupStream, random: RandomSource): string {
    const candidates = shape.teams.filter(team => stream.teams === undefined || stream.teams.includes(team.name));
    const totalDemand = candidates.reduce((sum, team) => sum + team.demand, 0);
    let position = random.next() * totalDemand;
    for (const team of candidates) {
        position -= team.demand;
        if (position < 0) {
            return team.name;
        }
    }
    return candidates.at(-1)!.name;
}
