import type { Resources } from "@skylarkpath/common/model/Resources";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import type { GroupKind, TaskGroup, TeamPolicy, WorkerView } from "@skylarkpath/common/scheduling/TaskScheduler";
import { type Distribution, exponential } from "./Distribution.js";

/** Class of workers of a workload. */
export interface WorkerClass {
    readonly count: number;
    readonly capacity: Resources;
}

/** Stream of groups of one kind. */
export interface GroupStream {
    readonly name: string;
    readonly kind: GroupKind;
    readonly urgent: boolean;
    readonly groupsPerSecond: number;
    readonly tasksPerGroup: Distribution;
    readonly sizes: readonly Resources[];
    readonly durationMs: Distribution;
    /** Factor by which the declared run time differs from the true one. */
    readonly declaredDurationFactor: Distribution;
    readonly checkpointable: boolean;
    readonly deadlineAfterMs?: number;
    /** Teams that submit; all by their demand when absent. */
    readonly teams?: readonly string[];
}

/** Team of a workload. */
export interface WorkloadTeam {
    readonly name: string;
    readonly share: number;
    /** Part of the groups that this team submits, relative to the others. */
    readonly demand: number;
    /** Fraction of the fleet that the team may run. */
    readonly allottedFraction: number;
}

/** Shape of a seeded workload. */
export interface TaskWorkloadShape {
    readonly name: string;
    readonly seed: number;
    readonly durationMs: number;
    readonly workersPerRack: number;
    readonly workers: readonly WorkerClass[];
    readonly teams: readonly WorkloadTeam[];
    readonly streams: readonly GroupStream[];
}

/** Group that arrives, with the true run times of its tasks. */
export interface GroupArrival {
    readonly atMs: number;
    readonly stream: string;
    readonly group: TaskGroup;
    readonly durationsMs: readonly number[];
}

/** Workers of a workload. */
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

/** What all workers hold together. */
export function totalCapacity(shape: TaskWorkloadShape): Resources {
    let [processorMillicores, memoryBytes, accelerators] = [0, 0, 0];
    for (const { count, capacity } of shape.workers) {
        processorMillicores += count * capacity.processorMillicores;
        memoryBytes += count * capacity.memoryBytes;
        accelerators += count * capacity.accelerators;
    }
    return { processorMillicores, memoryBytes, accelerators };
}

/** Policies of the teams of a workload. */
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

/** All arrivals of a workload in order of time. */
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
