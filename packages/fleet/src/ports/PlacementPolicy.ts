/** Question to the placement policy of a queue. */
export interface PolicyQuestion {
    /** Identifies the question in its answer. */
    readonly number: number;
    /** Step to place. */
    readonly step: string;
    readonly workerIds: readonly string[];
}

/** Permit to run a step on a worker. */
export interface Permit {
    readonly workerId: string;
    readonly permit: string;
}

/** Answer of the placement policy: permits for those of the named workers that may run the step. */
export interface PolicyAnswer {
    readonly permits: readonly Permit[];
    /** Validity of the permits. */
    readonly permitMs?: number;
}

/** External service that decides which workers may run a step. */
export interface PlacementPolicy {
    /** Asks the policy; resolves to undefined when it does not answer. */
    ask(question: PolicyQuestion, timeoutMs: number): Promise<PolicyAnswer | undefined>;
}
