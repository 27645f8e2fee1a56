/** Amounts of resources that a worker has or a task needs. */
export interface ResourceAmounts {
    readonly cpuMilli: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** One step of a job: a number of identical tasks. */
export interface StepSpec {
    readonly taskCount: number;
    readonly size: ResourceAmounts;
    /** Estimated duration of one task, as given by the caller. */
    readonly estimateMs: number;
    /** Indexes of the earlier steps that must be done first. */
    readonly after: readonly number[];
    /** Gang scheduling: all tasks start together and end together. */
    readonly gang: boolean;
    readonly checkpointing: boolean;
    /** The tasks run slower when they are spread over several racks. */
    readonly sameRack: boolean;
    /** Rack that holds the data. */
    readonly nearRack?: string;
    /** Label that a worker must have. */
    readonly workerLabel?: string;
    /** Maximum number of the step's tasks on one worker; zero means unlimited. */
    readonly maximumPerWorker: number;
    /** Speculative copies of a task may run in parallel. */
    readonly copiesAllowed: boolean;
    /** The tasks run until the job is cancelled; a task that ends is started again. */
    readonly lasting: boolean;
    /** The tasks only use processor time that others leave; no CPU is charged to their worker. */
    readonly filler: boolean;
    readonly image?: string;
    /** Target for the tail latency of a serving task; zero for all other tasks. */
    readonly targetMs: number;
    /** Maximum number of tasks of a lasting step that the scheduler itself may have stopped at a time. */
    readonly maximumAway: number;
}

/** When the steps of a job run. */
export interface JobSchedule {
    /** Wall-clock time of the first occurrence. */
    readonly firstStartMs: number;
    readonly periodMs: number;
    /** Zero means that the job runs once, immediately. */
    readonly occurrences: number;
}

/** A job as its caller submitted it. */
export interface JobSpec {
    readonly id: string;
    readonly queue: string;
    readonly team: string;
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly schedule: JobSchedule;
    /** Wall-clock time at which an entry process accepted the job. */
    readonly acceptedWallMs: number;
}

/** State of a job as its caller sees it. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Completed = "completed",
    Failed = "failed",
    Cancelled = "cancelled"
}

/** Returns whether a state is final. */
export function isFinal(phase: JobPhase): boolean {
    return phase === JobPhase.Completed || phase === JobPhase.Failed || phase === JobPhase.Cancelled;
}
