/** Amounts of a worker's resources. */
export interface Size {
    readonly cpuMilli: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** One step of a job: tasks that are alike. */
export interface StepSpec {
    readonly taskCount: number;
    readonly size: Size;
    /** Rough duration of one task, as the caller gave it. */
    readonly estimateMs: number;
    /** Numbers of the earlier steps that must be done first. */
    readonly after: readonly number[];
    /** All tasks run together and end together. */
    readonly gang: boolean;
    readonly checkpointing: boolean;
    /** The tasks are slower when they run on more than one rack. */
    readonly sameRack: boolean;
    /** Rack that holds the data. */
    readonly nearRack?: string;
    /** Label that a worker must have. */
    readonly workerLabel?: string;
    /** Most tasks of the step on one worker; zero means any number. */
    readonly maximumPerWorker: number;
    /** Copies of a task may run in parallel. */
    readonly copiesAllowed: boolean;
    /** The tasks run until the job is cancelled. */
    readonly lasting: boolean;
    /** The tasks use only what others leave; their processors are not counted. */
    readonly filler: boolean;
    readonly image?: string;
    /** Bound for the tail latency of a serving task. */
    readonly targetMs: number;
    /** Most tasks of a lasting step that may be away through our own actions. */
    readonly maximumAway: number;
}

/** When the steps of a job run. */
export interface JobSchedule {
    /** Wall-clock time of the first occurrence. */
    readonly firstStartMs: number;
    readonly periodMs: number;
    /** Zero means that the job runs once, at once. */
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
    /** Wall-clock time at which an entry took it. */
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

/** Tells whether a state is final. */
export function isFinal(phase: JobPhase): boolean {
    return phase === JobPhase.Completed || phase === JobPhase.Failed || phase === JobPhase.Cancelled;
}
