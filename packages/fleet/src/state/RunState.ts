import type { TaskState } from "./TaskState.js";
import type { WorkerState } from "./WorkerState.js";

/** Speed limit of a new run: full speed. */
export const FULL_SPEED_PERCENT = 100;

/** Phase of a run, as far as the owner knows. */
export enum RunPhase {
    /** The start order is in flight. */
    Starting = "starting",
    /** It is unknown whether the run exists; a report under a later token shows it. */
    Uncertain = "uncertain",
    Running = "running",
    /** A stop was ordered; the run keeps its resources until the worker reports its end. */
    Stopping = "stopping"
}

/** One run of a task on a worker. */
export interface RunState {
    readonly task: TaskState;
    worker: WorkerState;
    /** Workers had crashed under the task when the run was started, and it has not run for long since. */
    suspect: boolean;
    /** Number of the run: higher than those of the task's earlier runs, and the same for all members of a gang. */
    readonly run: number;
    readonly orderedAtMs: number;
    phase: RunPhase;
    /** Time at which the run was known to exist; it is gone when a report that was requested later omits it. */
    confirmedAtMs: number | undefined;
    /** The worker has listed the run, or confirmed its start: no later incarnation of the worker has got the order. */
    reported: boolean;
    /** A later incarnation of the worker than the known one has confirmed the start. */
    startedLater: boolean;
    /** This owner ordered the start from the beginning, not from a checkpoint, and saw when the run began. */
    startSeen: boolean;
    /** Lowest token of a report that shows whether an uncertain run exists. */
    resolvingToken: number;
    /** Progress of the task, as last reported. */
    percent: number;
    /** Time at which the progress last changed; while the speed is limited, time of the last report. */
    progressedAtMs: number;
    /** Tail latency in ms of a serving task, processors in use of any other, as last reported. */
    load: number | undefined;
    /** Percentage of its full speed at which the task may run. */
    speedLimitPercent: number;
    /** False when the task may run at another speed: an order failed, or an earlier owner started the run. */
    speedLimitKnown: boolean;
    speedLimitSetAtMs: number;
    /** The scheduler has decided to stop the run, so that its end is no failure of the task. */
    stopRequested: boolean;
    stopSentAtMs: number | undefined;
}
