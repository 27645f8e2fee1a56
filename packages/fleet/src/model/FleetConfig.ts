import type { Size } from "./JobSpec.js";

/** Restriction of a queue: an outside policy says which workers may run a step. */
export interface PolicyCost {
    readonly decideMs: number;
    readonly perWorkerMs: number;
    /** Time for which a permit holds. */
    readonly permitMs: number;
}

/** Queue that callers submit jobs to. */
export interface QueueConfig {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Pool of workers that runs its tasks. */
    readonly pool: string;
    /** Zero is the most urgent. */
    readonly priority: number;
    readonly maximumAttempts: number;
    /** The objective of a job is this factor times its chain of work, and the latency below. */
    readonly stretchFactor: number;
    readonly targetLatencyMs: number;
    /** Anybody may submit. */
    readonly open: boolean;
    readonly policy?: PolicyCost;
}

/** Pool of workers. */
export interface PoolConfig {
    readonly name: string;
    /** Its workers refuse what does not fit. */
    readonly refusesOverload: boolean;
    readonly standby: boolean;
}

/** Team with its keys, share and upper limit. */
export interface TeamConfig {
    readonly name: string;
    readonly keys: readonly string[];
    readonly share: number;
    /** Upper limit; an amount of zero means no limit. */
    readonly limit: Size;
}

/** What is in force in the whole fleet. */
export interface FleetConfig {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    readonly teams: readonly TeamConfig[];
    readonly maximumBodyBytes: number;
}
