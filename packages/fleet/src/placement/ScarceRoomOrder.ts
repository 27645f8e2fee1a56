import type { FleetState } from "../state/FleetState.js";
import { costOfDelay, countProcessors, taskProcessors } from "./DelayCost.js";
import type { JobWork } from "./JobSizes.js";
import { OverdueSteps } from "./OverdueSteps.js";
import { measurePools, type PoolRoom, type RoomDemand } from "./PoolRoom.js";
import { compareSteps, latestMs, type RankedStep, Standing, Usefulness } from "./RankedStep.js";
import { type TeamDemand, TeamWorkShares } from "./TeamWorkShares.js";

/** Step that competes for the room of a pool. */
interface CompetingStep {
    readonly ranked: RankedStep;
    readonly room: PoolRoom;
    /** Number of its tasks that the limit of its team lets start; zero if no worker can run them. */
    readonly taskCount: number;
    readonly demand: RoomDemand;
}

/**
 * Orders steps when a pool has too little room for those that wait; returns undefined when there is enough. Steps of
 * overdue jobs come first, in a small part of the room, and those of useless jobs last. In between, jobs within their
 * team's rate come before others, then they go by priority of the queue, then by what it costs callers to let a step
 * wait. That counts less for teams beyond their share of the processors, and more for sizes of jobs that are served
 * less often than others. Gangs keep the order of their due times among themselves.
 */
export function orderForScarceRoom(
    fleet: FleetState,
    nowMs: number,
    ranked: readonly RankedStep[]
): RankedStep[] | undefined {
    const pools = measurePools(fleet, nowMs);
    const competing = ranked.flatMap(each => describeCompetition(fleet, each, pools) ?? []);
    if (!isRoomScarce(competing)) {
        return undefined;
    }
    const isUseless = (each: RankedStep): boolean => each.usefulness === Usefulness.None;
    const overdue = new Set(new OverdueSteps(fleet, nowMs, pools).select(ranked.filter(isUseless)));
    const useful = competing.filter(each => !isUseless(each.ranked));
    const shares = createTeamShares(fleet, pools, competing);
    const { jobSizes } = fleet;
    const ordered: RankedStep[] = [];
    for (const group of groupBy(useful, ({ ranked: { step, queue } }) => `${step.job.withinShare}/${queue.priority}`)) {
        group.forEach(({ room, demand }) => room.add(demand));
        const byCost = group.map(each => {
            const { job } = each.ranked.step;
            const teamFactor = shares.factor(job.spec.team);
            const cost = costPerWork(each, nowMs, jobSizes.workOf(job)) * teamFactor * jobSizes.factor(job);
            const standing = teamFactor < 1 ? Standing.BeyondShare : Standing.Due;
            return { ranked: { ...each.ranked, standing }, cost };
        });
        byCost.sort((left, right) => right.cost - left.cost);
        ordered.push(...orderGangsByDueTime(byCost.map(each => each.ranked)));
    }
    return [
        ...[...overdue].map(each => ({ ...each, standing: Standing.Overdue })),
        // Steps of pools without a usable worker can't start.
        ...ranked.filter(each => !isUseless(each) && !pools.has(each.queue.pool)),
        ...ordered,
        ...ranked.filter(each => isUseless(each) && !overdue.has(each))
    ];
}

/**
 * Orders the gangs among the steps by due time, in the places that gangs have. What holds a gang up is to gather its
 * room, not the work ahead of it, and a gang that is overtaken while room is reserved for it wastes that room.
 */
function orderGangsByDueTime(steps: readonly RankedStep[]): RankedStep[] {
    const gangs = steps.filter(({ step }) => step.spec.gang).sort(compareSteps);
    let next = 0;
    return steps.map(each => each.step.spec.gang ? gangs[next++]! : each);
}

/** Cost of letting a step wait, for each processor-ms that its job still takes. */
function costPerWork({ ranked, room }: CompetingStep, nowMs: number, { workMs, meanWorkMs }: JobWork): number {
    const { step, usefulness, dueMs, remainingMs, remainingWorkMs } = ranked;
    const isLate = usefulness === Usefulness.Late;
    const slackMs = (isLate ? latestMs(ranked) : dueMs) - nowMs - remainingMs;
    return costOfDelay({
        workMs,
        meanWorkMs,
        remainingWorkMs,
        isLate,
        slackMs: step.spec.lasting ? 0 : slackMs,
        meanWaitMs: room.meanWaitMs
    });
}

/** Describes what a step takes of its pool; undefined when the pool has no usable worker. */
function describeCompetition(
    fleet: FleetState,
    ranked: RankedStep,
    pools: ReadonlyMap<string, PoolRoom>
): CompetingStep | undefined {
    const { step, queue } = ranked;
    const room = pools.get(queue.pool);
    if (!room) {
        return undefined;
    }
    const allowed = room.canRun(step) ? fleet.countWithinTeamLimit(step.job.spec.team, step.spec.size) : 0;
    const taskCount = step.spec.gang && allowed < step.waitingCount ? 0 : Math.min(allowed, step.waitingCount);
    const share = room.shareOf(step, taskCount);
    return { ranked, room, taskCount, demand: { share, shareMs: share * fleet.expectedDurationMs(step) } };
}

function isRoomScarce(competing: readonly CompetingStep[]): boolean {
    const waiting = new Map<PoolRoom, number>();
    for (const { room, demand } of competing) {
        waiting.set(room, (waiting.get(room) ?? 0) + demand.share);
    }
    return [...waiting].some(([room, share]) => share > room.freeShare);
}

function createTeamShares(
    fleet: FleetState,
    pools: ReadonlyMap<string, PoolRoom>,
    competing: readonly CompetingStep[]
): TeamWorkShares {
    const waiting = new Map<string, number>();
    for (const { ranked: { step }, taskCount } of competing) {
        const { team } = step.job.spec;
        waiting.set(team, (waiting.get(team) ?? 0) + taskCount * taskProcessors(step.spec));
    }
    const demands = new Map<string, TeamDemand>();
    for (const { name, share } of fleet.config?.teams ?? []) {
        const running = countProcessors(fleet.usedBy(name));
        demands.set(name, { weight: share, running, waiting: waiting.get(name) ?? 0 });
    }
    const processors = [...pools.values()].reduce((sum, room) => sum + room.processors, 0);
    return new TeamWorkShares(processors, demands);
}

/** Groups elements by a key; the groups are in the order of their first elements. */
function groupBy<T>(elements: readonly T[], keyOf: (element: T) => string): Iterable<T[]> {
    const groups = new Map<string, T[]>();
    for (const element of elements) {
        const key = keyOf(element);
        const group = groups.get(key) ?? [];
        group.push(element);
        groups.set(key, group);
    }
    return groups.values();
}
