import type { TaskState } from "./TaskState.js";
import type { WorkerState } from "./WorkerState.js";

/** Pace of a task from its start on. */
export const FULL_PACE_PERCENT = 100;

/** Where a run stands, as far as the owner knows. */
export enum RunPhase {
    /** The order is on its way. */
    Starting = "starting",
    /** The order got no reply; a report under a later token settles it. */
    Uncertain = "uncertain",
    Running = "running",
    /** A stop was ordered; the run counts until its end is listed. */
    Stopping = "stopping"
}

/** One run of a task on a worker. */
export interface RunState {
    readonly task: TaskState;
    worker: WorkerState;
    readonly run: number;
    readonly orderedAtMs: number;
    phase: RunPhase;
    /** Time since which a report must list the run. */
    confirmedAtMs: number | undefined;
    /** Token under which the worker must have been looked at to settle an uncertain order. */
    settledByToken: number;
    percent: number;
    /** Time at which the percentage last rose. */
    progressedAtMs: number;
    /** Tail latency in ms of a serving task, processors in use of any other, as last listed. */
    load: number | undefined;
    /** Share of its speed at which the task may work. */
    pacePercent: number;
    /** The worker has that pace, or it was ordered; one that a former owner set is not known. */
    paceKnown: boolean;
    pacedAtMs: number;
    /** The stop is wanted for reasons of ours, so that the end is no failure of the task. */
    stopWanted: boolean;
    stopSentAtMs: number | undefined;
}
