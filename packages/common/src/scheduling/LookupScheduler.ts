import type { WaitExplanation } from "./TaskScheduler.js";

/** State of a target as known to the scheduler. */
export interface TargetView {
    readonly targetId: string;
    readonly slots: number;
    /** Queues that the target serves; empty means all. */
    readonly queues: readonly string[];
    readonly schedulable: boolean;
}

/** Look-up that waits for a slot. */
export interface PendingLookup {
    readonly lookupId: string;
    readonly team: string;
    readonly queue: string;
    /** Monotonic time of the process that schedules the look-up. */
    readonly deadlineAtMs: number;
    readonly submittedAtMs: number;
}

/** Share and slots of a team in this slice. */
export interface LookupTeamPolicy {
    readonly share: number;
    readonly slots: number;
}

/** Why a look-up was shed, that is, rejected without being sent to a target. */
export enum ShedReason {
    DeadlinePassed = "deadline-passed",
    Overloaded = "overloaded",
    NoTarget = "no-target",
    LimitReached = "limit-reached"
}

/** Assignment of a look-up to a target, or its rejection. */
export type LookupDecision =
    | { readonly lookupId: string; readonly targetId: string; }
    | { readonly lookupId: string; readonly shed: ShedReason; };

/** Assigns look-ups to the target slots of one slice; does no I/O and reads no clock. */
export interface LookupScheduler {
    setTeams(teams: ReadonlyMap<string, LookupTeamPolicy>): void;
    upsertTarget(target: TargetView): void;
    removeTarget(targetId: string): void;
    submit(lookup: PendingLookup): void;
    /** Marks a slot as in use because an inventory or an earlier grant says so. */
    adopt(lookupId: string, team: string, targetId: string): void;
    /** Removes a waiting look-up; returns false if it holds a slot or is unknown. */
    withdraw(lookupId: string): boolean;
    /** Frees the slot of a look-up and records its latency. */
    finished(lookupId: string, latencyMs: number, succeeded: boolean): void;
    decide(nowMs: number): readonly LookupDecision[];
    explain(lookupId: string): WaitExplanation | undefined;
    /** Number of slots that a team uses in this slice. */
    slotsInUse(team: string): number;
}
