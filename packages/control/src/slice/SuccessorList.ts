import type { SliceRecord, Successor } from "@skylarkpath/common/model/Slice";

/** Number of live successors that an owner keeps named. */
export const SUCCESSOR_COUNT = 2;

/** What is known of the processes of a failure domain. */
export interface SuccessorCandidates {
    /** Owner names of live processes that may own a slice, in order. */
    readonly liveOwnerNames: readonly string[];
    /** Tells whether a process has certainly ended. */
    readonly hasEnded: (ownerName: string) => boolean;
}

/** Highest epoch that a record has assigned. */
export function highestEpochOf(record: SliceRecord): number {
    return record.successors.reduce((highest, successor) => Math.max(highest, successor.epoch), record.epoch);
}

/** Epoch assigned to a process beforehand, or undefined when it is not named. */
export function assignedEpochOf(record: SliceRecord, ownerName: string): number | undefined {
    const successor = record.successors.find(candidate => candidate.owner === ownerName);
    return successor && successor.epoch > record.epoch ? successor.epoch : undefined;
}

/** Names successors anew: only processes that have ended are removed, since others may take over unseen. */
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
