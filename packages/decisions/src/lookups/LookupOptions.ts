/** Settings of a look-up scheduler. */
export interface LookupOptions {
    /** Look-ups that may wait in all; further ones are shed. */
    readonly maxWaiting: number;
    /** Time for which a look-up waits for a target of its queue to appear. */
    readonly noTargetGraceMs: number;
    /** Time between two searches for look-ups that can no longer meet their deadline. */
    readonly shedIntervalMs: number;
    /** Quantile of the service time that has to fit before the deadline of a look-up that waits alone. */
    readonly lenientShedQuantile: number;
    /** Quantile that has to fit when others wait for the slot too. */
    readonly strictShedQuantile: number;
    /** Factor by which the predicted wait must exceed the time left, to be shed when submitted. */
    readonly predictedWaitMargin: number;
    /** Latency, relative to the mean of all targets, above which a target gets fewer slots. */
    readonly slowLatencyRatio: number;
}

/** Settings in force unless others are given. */
export const DEFAULT_LOOKUP_OPTIONS: LookupOptions = {
    maxWaiting: 20_000,
    noTargetGraceMs: 250,
    shedIntervalMs: 5,
    lenientShedQuantile: 0.1,
    strictShedQuantile: 0.9,
    predictedWaitMargin: 2,
    slowLatencyRatio: 2
};
