import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { DIMENSIONS, fromNumbers, isSameAmount, maxAmounts, NO_AMOUNT } from "./Amounts.js";

/** Demand of a team in one slice. */
export interface TeamDemand {
    /** Running and waiting work, bounded by the capacity of the slice unless more is running. */
    readonly wanted: TeamAllotment;
    /** Largest waiting unit that must start at once, such as a gang. */
    readonly quantum: TeamAllotment;
}

/** Planner's input about one slice for one team. */
export interface SliceState {
    readonly sliceId: string;
    readonly escrow: TeamEscrow | undefined;
    /** Absent when the owner could not be reached; the planner then leaves the grant as it is. */
    readonly demand: TeamDemand | undefined;
    /** Operators have declared the failure domain of the slice lost. */
    readonly lost: boolean;
}

interface SliceDimension {
    readonly granted: number;
    readonly wanted: number | undefined;
    readonly quantum: number;
    readonly lost: boolean;
}

interface PlannedDimension {
    readonly granted: number;
    readonly target: number;
}

/** The floor of a slice is its equal share divided by this; it is granted even without demand. */
const FLOOR_DIVISOR = 4;
/** Slices are asked to lower grants only for changes of at least the limit divided by this. */
const MIN_CHANGE_DIVISOR = 20;

/**
 * Plans the grants and targets of one team and returns the escrows that change, by slice. A plan never raises the sum
 * of the grants above the limit.
 */
export function planTeam(limit: TeamAllotment, slices: readonly SliceState[]): ReadonlyMap<string, TeamEscrow> {
    const byDimension = DIMENSIONS.map(dimension =>
        planDimension(
            dimension.read(limit),
            slices.map(slice => ({
                granted: dimension.read(slice.escrow?.granted ?? NO_AMOUNT),
                wanted: slice.demand && dimension.read(slice.demand.wanted),
                quantum: dimension.read(slice.demand?.quantum ?? NO_AMOUNT),
                lost: slice.lost
            }))
        )
    );
    const anyGrows = slices.some((slice, sliceIndex) =>
        DIMENSIONS.some((dimension, index) =>
            byDimension[index]![sliceIndex]!.granted > dimension.read(slice.escrow?.granted ?? NO_AMOUNT)
        )
    );
    const planned = new Map<string, TeamEscrow>();
    slices.forEach((slice, sliceIndex) => {
        const granted = fromNumbers(byDimension.map(changes => changes[sliceIndex]!.granted));
        const target = fromNumbers(byDimension.map(changes => changes[sliceIndex]!.target));
        const baseLimit = slice.escrow?.limit ?? limit;
        const next: TeamEscrow = {
            granted,
            ...(isSameAmount(granted, target) ? {} : { target }),
            limit: anyGrows ? nextBaseLimit(slice, granted, baseLimit, limit) : baseLimit
        };
        if (!slice.escrow || !isSameEscrow(slice.escrow, next)) {
            planned.set(slice.sliceId, next);
        }
    });
    return planned;
}

/**
 * Limit to store with a grant in a round that raises any grant of the team: the current limit when this grant changes,
 * otherwise its previous limit raised to at least the current one.
 */
function nextBaseLimit(
    slice: SliceState,
    granted: TeamAllotment,
    baseLimit: TeamAllotment,
    limit: TeamAllotment
): TeamAllotment {
    const hasChanged = !isSameAmount(granted, slice.escrow?.granted ?? NO_AMOUNT);
    return hasChanged ? limit : maxAmounts(baseLimit, limit);
}

function isSameEscrow(left: TeamEscrow, right: TeamEscrow): boolean {
    return isSameAmount(left.granted, right.granted)
        && isSameAmount(left.limit, right.limit)
        && isSameAmount(left.target ?? left.granted, right.target ?? right.granted);
}

function planDimension(limit: number, slices: readonly SliceDimension[]): readonly PlannedDimension[] {
    const desired = computeDesired(limit, slices);
    const minChange = Math.max(1, limit / MIN_CHANGE_DIVISOR);
    const totalGranted = slices.reduce((sum, slice) => sum + (slice.lost ? 0 : slice.granted), 0);
    const needsReclaim = totalGranted > limit
        || slices.some((slice, sliceIndex) =>
            slice.wanted !== undefined && slice.wanted > slice.granted
            && desired[sliceIndex]! - slice.granted >= minChange
        );
    let free = limit - totalGranted;
    return slices.map((slice, sliceIndex) => {
        if (slice.lost) {
            return { granted: 0, target: 0 };
        }
        const difference = desired[sliceIndex]! - slice.granted;
        if (difference > 0 && free > 0) {
            const growth = Math.min(difference, free);
            free -= growth;
            return { granted: slice.granted + growth, target: slice.granted + growth };
        }
        const mustShrink = needsReclaim && difference <= -minChange;
        return { granted: slice.granted, target: mustShrink ? desired[sliceIndex]! : slice.granted };
    });
}

function computeDesired(limit: number, slices: readonly SliceDimension[]): readonly number[] {
    const unreachableTotal = slices.reduce((sum, slice) => sum + (isUnreachable(slice) ? slice.granted : 0), 0);
    const reachableIndexes = [...slices.keys()].filter(sliceIndex => isReachable(slices[sliceIndex]!));
    const pool = Math.max(0, limit - unreachableTotal);
    const floor = Math.floor(pool / (FLOOR_DIVISOR * Math.max(1, reachableIndexes.length)));
    const demands = reachableIndexes.map(sliceIndex => Math.max(slices[sliceIndex]!.wanted!, floor));
    const total = demands.reduce((sum, demand) => sum + demand, 0);
    const shares = total <= pool
        ? addSpareEvenly(demands, pool - total)
        : divideProportionally(
            demands,
            pool,
            floor,
            Math.max(1, ...reachableIndexes.map(sliceIndex => slices[sliceIndex]!.quantum))
        );
    const desired = slices.map(slice => slice.lost ? 0 : slice.granted);
    reachableIndexes.forEach((sliceIndex, index) => {
        desired[sliceIndex] = shares[index]!;
    });
    return desired;
}

function isReachable(slice: SliceDimension): boolean {
    return !slice.lost && slice.wanted !== undefined;
}

function isUnreachable(slice: SliceDimension): boolean {
    return !slice.lost && slice.wanted === undefined;
}

function addSpareEvenly(demands: readonly number[], spare: number): readonly number[] {
    const perSlice = Math.floor(spare / Math.max(1, demands.length));
    const remainder = spare - perSlice * demands.length;
    return demands.map((demand, index) => demand + perSlice + (index < remainder ? 1 : 0));
}

/**
 * Divides the pool in proportion to the demand above the floors, in multiples of the quantum. Floors are skipped when
 * less than one quantum would remain above them.
 */
function divideProportionally(
    demands: readonly number[],
    pool: number,
    floor: number,
    quantum: number
): readonly number[] {
    const skipsFloors = pool - floor * demands.length < quantum;
    const baseShare = skipsFloors ? 0 : floor;
    const remaining = pool - baseShare * demands.length;
    const excesses = demands.map(demand => Math.max(0, demand - floor));
    const totalExcess = excesses.reduce((sum, excess) => sum + excess, 0);
    const shares = excesses.map(excess =>
        Math.floor(remaining * excess / Math.max(1, totalExcess) / quantum) * quantum
    );
    let unassigned = remaining - shares.reduce((sum, share) => sum + share, 0);
    const byUnmetDemand = [...excesses.keys()].sort((a, b) => excesses[b]! - shares[b]! - (excesses[a]! - shares[a]!));
    for (const index of byUnmetDemand) {
        const extra = Math.min(unassigned, Math.max(quantum, unassigned % quantum));
        shares[index]! += extra;
        unassigned -= extra;
    }
    shares[byUnmetDemand[0]!]! += unassigned;
    return shares.map(share => baseShare + share);
}
