import type { StepSpec } from "../model/JobSpec.js";

/** Job whose placement is to be previewed; it is not stored and never runs. */
export interface PreviewQuery {
    readonly queue: string;
    /** Empty for a request without an API key. */
    readonly team: string;
    readonly steps: readonly StepSpec[];
}

/** Number of workers with the same verdict, and the first of them. */
export interface VerdictCount {
    readonly verdict: string;
    readonly workers: number;
    readonly examples: readonly string[];
}

/** What would become of one step now. */
export interface StepPreview {
    /** Index of the step in its job. */
    readonly step: number;
    readonly tasks: number;
    /** Indexes of the earlier steps that must be done first. */
    readonly after: readonly number[];
    /** Tasks that there is room for now, beside what runs and what is reserved; all or none for a gang. */
    readonly fitsNow: number;
    /** Why tasks would wait; undefined when nothing but the steps ahead can make them wait. */
    readonly waitReason?: string;
    /** Steps of other jobs that are placed before it, of those that wait now. */
    readonly stepsAhead?: number;
    /** More tasks of this size than the limit of the team allows do not start. */
    readonly tasksWithinTeamLimit: number;
    /** Expected duration of a run in ms. */
    readonly expectedDurationMs: number;
    /** A placement policy is asked before the start. */
    readonly needsPermits: boolean;
    readonly workers: readonly VerdictCount[];
}

/** What would become of a job of a team within its share if it were submitted now. */
export interface PlacementPreview {
    readonly queue: string;
    readonly team: string;
    readonly priority: number;
    /** Time in ms from now within which the job should be done, from the objective of its queue. */
    readonly objectiveMs: number;
    /** Expected duration in ms of its longest chain of steps. */
    readonly expectedDurationMs: number;
    /** Steps of other jobs that wait now. */
    readonly waitingSteps: number;
    readonly steps: readonly StepPreview[];
}

/** Why no preview can be given. */
export enum PreviewFailure {
    /** This process does not own the fleet, or has not loaded the jobs yet. */
    NotOwner = "not-owner",
    UnknownQueue = "unknown-queue",
    UnknownTeam = "unknown-team"
}
