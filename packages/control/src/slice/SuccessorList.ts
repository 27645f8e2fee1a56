import type { SliceRecord, Successor } from "@skylarkpath/common/model/Slice";

/** Number of live successors that an owner names in the row of its slice. */
export const SUCCESSOR_COUNT = 2;

/** Processes of a failure domain from which successors are chosen. */
export interface SuccessorCandidates {
    /** Owner names of live processes that may own a slice, in the order in which they become successors. */
    readonly liveOwnerNames: readonly string[];
    /** Returns whether a process has certainly ended. */
    readonly hasEnded: (ownerName: string) => boolean;
}

/** Returns the highest epoch that a record assigns to its owner or a successor. */
export function highestEpochOf(record: SliceRecord): number {
    return record.successors.reduce((highest, successor) => Math.max(highest, successor.epoch), record.epoch);
}

/**
 * Returns the epoch that a record assigns to a process for its succession, or undefined when it is not a named
 * successor or that epoch has passed.
 */
export function assignedEpochOf(record: SliceRecord, ownerName: string): number | undefined {
    const successor = record.successors.find(candidate => candidate.owner === ownerName);
    return successor && successor.epoch > record.epoch ? successor.epoch : undefined;
}

/**
 * Returns the renewed successors of a record. Only processes that have certainly ended are removed, since any other one
 * may have taken the slice over unnoticed.
 */
export function renewSuccessors(record: SliceRecord, candidates: SuccessorCandidates): readonly Successor[] {
    const retained = record.successors.filter(successor => !candidates.hasEnded(successor.owner));
    const named = new Set([record.owner, ...retained.map(successor => successor.owner)]);
    const liveCount = retained.filter(successor => candidates.liveOwnerNames.includes(successor.owner)).length;
    const added = candidates.liveOwnerNames
        .filter(ownerName => !named.has(ownerName))
        .slice(0, Math.max(0, SUCCESSOR_COUNT - liveCount));
    const highestEpoch = highestEpochOf(record);
    return [...retained, ...added.map((owner, index) => ({ owner, epoch: highestEpoch + 1 + index }))];
}
