/** Question to the placement policy of a queue. */
export interface PolicyQuestion {
    /** Tells the answers apart. */
    readonly number: number;
    /** Step that is to be placed. */
    readonly step: string;
    readonly workerIds: readonly string[];
}

/** Permit to run a step on a worker. */
export interface Permit {
    readonly workerId: string;
    readonly permit: string;
}

/** Answer of the placement policy: the workers among those named that may run the step. */
export interface PolicyAnswer {
    readonly permits: readonly Permit[];
    /** Time for which the permits hold. */
    readonly permitMs?: number;
}

/** Outside service that says which workers may run a step. */
export interface PlacementPolicy {
    /** Asks; nothing is returned when no answer came. */
    ask(question: PolicyQuestion, timeoutMs: number): Promise<PolicyAnswer | undefined>;
}
