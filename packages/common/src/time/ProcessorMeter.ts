/** Processor time that a process has used since it started. */
export interface ProcessorTime {
    /** Time on the processor, garbage collection included. */
    readonly totalMs: number;
    /** Part of it that garbage collection took. */
    readonly collectionMs: number;
}

/** Returns the processor time of this process so far. */
export type ProcessorMeter = () => ProcessorTime;
