import type { ResourceAmounts } from "./JobSpec.js";

/** Timing of the external placement policy of a queue, which decides which workers may run a step. */
export interface PolicyTiming {
    /** Time for a question, without its workers. */
    readonly decideMs: number;
    /** Additional time for each worker that a question names. */
    readonly perWorkerMs: number;
    /** Validity of a permit. */
    readonly permitMs: number;
}

/** Queue that callers submit jobs to. */
export interface QueueConfig {
    readonly name: string;
    readonly host: string;
    readonly pathPrefix: string;
    /** Pool of workers that run its tasks. */
    readonly pool: string;
    /** Lower values are more urgent; zero is the most urgent. */
    readonly priority: number;
    readonly maximumAttempts: number;
    /** A job is due after this factor times the length of its critical path, plus the target latency. */
    readonly stretchFactor: number;
    readonly targetLatencyMs: number;
    /** Requests need no API key. */
    readonly open: boolean;
    readonly policy?: PolicyTiming;
}

/** Pool of workers. */
export interface PoolConfig {
    readonly name: string;
    /** Its workers refuse tasks that do not fit into their capacity. */
    readonly refusesOverload: boolean;
    readonly standby: boolean;
}

/** Team with its API keys, share and resource limit. */
export interface TeamConfig {
    readonly name: string;
    readonly keys: readonly string[];
    /** Jobs per second that the team is entitled to; zero means unlimited. */
    readonly share: number;
    /** Limit for the resources in use; a value of zero means unlimited. */
    readonly limit: ResourceAmounts;
}

/** Configuration of the whole fleet. */
export interface FleetConfig {
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly pools: readonly PoolConfig[];
    readonly teams: readonly TeamConfig[];
    readonly maximumBodyBytes: number;
}
