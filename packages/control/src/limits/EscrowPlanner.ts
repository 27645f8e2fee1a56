import type { TeamAllotment, TeamEscrow } from "@skylarkpath/common/model/Slice";
import { DIMENSIONS, fromNumbers, isSame, larger, NO_AMOUNT } from "./Amounts.js";

/** What a team wants in one slice. */
export interface TeamDemand {
    /** Running and waiting work, bounded by what the slice holds. */
    readonly wanted: TeamAllotment;
    /** Largest piece of waiting work that has to start as a whole. */
    readonly quantum: TeamAllotment;
}

/** One slice as the planner sees it for one team. */
export interface SliceEscrow {
    readonly sliceId: string;
    readonly escrow: TeamEscrow | undefined;
    /** Absent when the owner was not reached; the slice then keeps what it has. */
    readonly demand: TeamDemand | undefined;
    /** The operators declare the failure domain as lost. */
    readonly lost: boolean;
}

interface SlicePart {
    readonly granted: number;
    readonly wanted: number | undefined;
    readonly quantum: number;
    readonly lost: boolean;
}

interface SliceChange {
    readonly granted: number;
    readonly target: number;
}

const FLOOR_DIVISOR = 4;
const CHANGE_DIVISOR = 20;

/** Plans the grants and targets of one team; the sum of the grants never rises above the limit. */
export function planTeam(limit: TeamAllotment, slices: readonly SliceEscrow[]): ReadonlyMap<string, TeamEscrow> {
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
    const grows = slices.some((slice, place) =>
        DIMENSIONS.some((dimension, index) =>
            byDimension[index]![place]!.granted > dimension.read(slice.escrow?.granted ?? NO_AMOUNT)
        )
    );
    const planned = new Map<string, TeamEscrow>();
    slices.forEach((slice, place) => {
        const granted = fromNumbers(byDimension.map(changes => changes[place]!.granted));
        const target = fromNumbers(byDimension.map(changes => changes[place]!.target));
        const before = slice.escrow?.limit ?? limit;
        const next: TeamEscrow = {
            granted,
            ...(isSame(granted, target) ? {} : { target }),
            limit: grows ? basisOf(slice, granted, before, limit) : before
        };
        if (!slice.escrow || !isSameEscrow(slice.escrow, next)) {
            planned.set(slice.sliceId, next);
        }
    });
    return planned;
}

/** A grant that grew counts from the limit of now; one that was made under a lower limit is raised to it. */
function basisOf(
    slice: SliceEscrow,
    granted: TeamAllotment,
    before: TeamAllotment,
    limit: TeamAllotment
): TeamAllotment {
    const isGrown = !isSame(granted, slice.escrow?.granted ?? NO_AMOUNT);
    return isGrown ? limit : larger(before, limit);
}

function isSameEscrow(left: TeamEscrow, right: TeamEscrow): boolean {
    return isSame(left.granted, right.granted)
        && isSame(left.limit, right.limit)
        && isSame(left.target ?? left.granted, right.target ?? right.granted);
}

function planDimension(limit: number, slices: readonly SlicePart[]): readonly SliceChange[] {
    const desired = desiredOf(limit, slices);
    const leastChange = Math.max(1, limit / CHANGE_DIVISOR);
    const totalGranted = slices.reduce((sum, slice) => sum + (slice.lost ? 0 : slice.granted), 0);
    const isShort = totalGranted > limit
        || slices.some((slice, place) =>
            slice.wanted !== undefined && slice.wanted > slice.granted && desired[place]! - slice.granted >= leastChange
        );
    let free = limit - totalGranted;
    return slices.map((slice, place) => {
        if (slice.lost) {
            return { granted: 0, target: 0 };
        }
        const missing = desired[place]! - slice.granted;
        if (missing > 0 && free > 0) {
            const growth = Math.min(missing, free);
            free -= growth;
            return { granted: slice.granted + growth, target: slice.granted + growth };
        }
        const shrinks = isShort && missing <= -leastChange;
        return { granted: slice.granted, target: shrinks ? desired[place]! : slice.granted };
    });
}

function desiredOf(limit: number, slices: readonly SlicePart[]): readonly number[] {
    const fixed = slices.reduce((sum, slice) => sum + (isFixed(slice) ? slice.granted : 0), 0);
    const places = [...slices.keys()].filter(place => isActive(slices[place]!));
    const pool = Math.max(0, limit - fixed);
    const floor = Math.floor(pool / (FLOOR_DIVISOR * Math.max(1, places.length)));
    const wants = places.map(place => Math.max(slices[place]!.wanted!, floor));
    const total = wants.reduce((sum, want) => sum + want, 0);
    const parts = total <= pool
        ? withSpare(wants, pool - total)
        : proportional(wants, pool, floor, Math.max(1, ...places.map(place => slices[place]!.quantum)));
    const desired = slices.map(slice => slice.lost ? 0 : slice.granted);
    places.forEach((place, index) => {
        desired[place] = parts[index]!;
    });
    return desired;
}

function isActive(slice: SlicePart): boolean {
    return !slice.lost && slice.wanted !== undefined;
}

function isFixed(slice: SlicePart): boolean {
    return !slice.lost && slice.wanted === undefined;
}

function withSpare(wants: readonly number[], spare: number): readonly number[] {
    const each = Math.floor(spare / Math.max(1, wants.length));
    const remainder = spare - each * wants.length;
    return wants.map((want, place) => want + each + (place < remainder ? 1 : 0));
}

/** Divides the pool by what is wanted above the floors, in whole multiples of the quantum. */
function proportional(wants: readonly number[], pool: number, floor: number, quantum: number): readonly number[] {
    const isCoarse = pool - floor * wants.length < quantum;
    const base = isCoarse ? 0 : floor;
    const rest = pool - base * wants.length;
    const above = wants.map(want => Math.max(0, want - floor));
    const total = above.reduce((sum, want) => sum + want, 0);
    const parts = above.map(want => Math.floor(rest * want / Math.max(1, total) / quantum) * quantum);
    let left = rest - parts.reduce((sum, part) => sum + part, 0);
    const order = [...above.keys()].sort((a, b) => above[b]! - parts[b]! - (above[a]! - parts[a]!));
    for (const place of order) {
        const more = Math.min(left, Math.max(quantum, left % quantum));
        parts[place]! += more;
        left -= more;
    }
    parts[order[0]!]! += left;
    return parts.map(part => base + part);
}
