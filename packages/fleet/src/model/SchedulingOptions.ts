/** Parts of the scheduling that operators switch on for a deployment. */
export interface SchedulingOptions {
    /** When a pool has too little room, what costs callers least waits; otherwise steps always go by due time. */
    readonly ordersByDelayCost: boolean;
    /** Run times are learnt from ended runs; otherwise the estimates of callers count. */
    readonly learnsRunTimes: boolean;
}

/** Nothing is switched on. */
export const DEFAULT_SCHEDULING: SchedulingOptions = { ordersByDelayCost: false, learnsRunTimes: false };
