/** Settings of a look-up scheduler. */
export interface LookupOptions {
    /** Maximum number of waiting look-ups over all teams; one is shed for each further one. */
    readonly maxWaiting: number;
    /** Time that a look-up waits while no target serves its queue, before it is shed. */
    readonly noTargetGraceMs: number;
    /** Time between two scans for look-ups that cannot meet their deadline any more. */
    readonly shedIntervalMs: number;
    /** Quantile of the service time that has to fit before the deadline when no other look-up waits. */
    readonly lenientShedQuantile: number;
    /** Quantile of the service time that has to fit before the deadline when other look-ups wait too. */
    readonly strictShedQuantile: number;
    /** A look-up is shed on submission if its predicted wait exceeds its remaining time by this factor. */
    readonly predictedWaitMargin: number;
    /** Latency, relative to the mean over all targets, above which a target's concurrency limit is reduced. */
    readonly slowLatencyRatio: number;
}

/** Default settings of a look-up scheduler. */
export const DEFAULT_LOOKUP_OPTIONS: LookupOptions = {
    maxWaiting: 20_000,
    noTargetGraceMs: 250,
    shedIntervalMs: 5,
    lenientShedQuantile: 0.1,
    strictShedQuantile: 0.9,
    predictedWaitMargin: 2,
    slowLatencyRatio: 2
};
