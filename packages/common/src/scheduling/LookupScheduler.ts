import type { WaitExplanation } from "./TaskScheduler.js";

/** Target as the scheduler sees it. */
export interface TargetView {
    readonly targetId: string;
    readonly slots: number;
    /** Queues that the target answers; empty means all. */
    readonly queues: readonly string[];
    readonly schedulable: boolean;
}

/** Look-up that waits for a slot. */
export interface PendingLookup {
    readonly lookupId: string;
    readonly team: string;
    readonly queue: string;
    /** Monotonic time of the deciding process. */
    readonly deadlineAtMs: number;
    readonly submittedAtMs: number;
}

/** Share and slots of a team in this slice. */
export interface LookupTeamPolicy {
    readonly share: number;
    readonly slots: number;
}

/** Why a look-up was shed. */
export enum ShedReason {
    DeadlinePassed = "deadline-passed",
    Overloaded = "overloaded",
    NoTarget = "no-target",
    LimitReached = "limit-reached"
}

/** Slot given to a look-up, or its refusal. */
export type LookupDecision =
    | { readonly lookupId: string; readonly targetId: string; }
    | { readonly lookupId: string; readonly shed: ShedReason; };

/** Decides about the executor slots of one slice; free of I/O and clocks. */
export interface LookupScheduler {
    setTeams(teams: ReadonlyMap<string, LookupTeamPolicy>): void;
    upsertTarget(target: TargetView): void;
    removeTarget(targetId: string): void;
    submit(lookup: PendingLookup): void;
    /** Counts a slot that an inventory or a grant found in use. */
    adopt(lookupId: string, team: string, targetId: string): void;
    /** Removes a waiting look-up; returns false when it holds a slot or is unknown. */
    withdraw(lookupId: string): boolean;
    /** Frees the slot of a look-up. */
    finished(lookupId: string, latencyMs: number, succeeded: boolean): void;
    decide(nowMs: number): readonly LookupDecision[];
    explain(lookupId: string): WaitExplanation | undefined;
    /** Slots that a team has in use here. */
    slotsInUse(team: string): number;
}
