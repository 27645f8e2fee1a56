import { Emitter } from "@skylarkpath/common/base/Emitter";
import { RunPhase, type RunState } from "../state/RunState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** A run that was seen from its start to its end. */
export interface ObservedRun {
    readonly worker: WorkerState;
    readonly runTimeMs: number;
}

/** The runs of a step that is done, as far as they were seen in full; of a gang, the one whose end was reported. */
export interface ObservedStep {
    readonly step: StepState;
    readonly runs: readonly ObservedRun[];
}

/** The end of a run is not known closely enough when its worker was silent for longer before the report. */
export const MAX_SILENCE_MS = 500;

/**
 * Measures the run times of tasks that ended as done. A step is told once all its tasks are done: the runs that end
 * first are the short ones.
 */
export class RunObserver {
    private readonly stepObserved = new Emitter<ObservedStep>();
    private readonly runsByStep = new WeakMap<StepState, ObservedRun[]>();
    private readonly reportedAtMs = new WeakMap<WorkerState, number>();

    /** A step is done of which runs were seen in full. */
    public readonly onStepObserved = this.stepObserved.event;

    /** Records that a report of a worker was applied. */
    public recordReport(worker: WorkerState, nowMs: number): void {
        this.reportedAtMs.set(worker, nowMs);
    }

    /** Records a run that a report lists as done, before it is closed. `pollSentAtMs` is when the report was requested. */
    public recordDone(run: RunState, pollSentAtMs: number, nowMs: number): void {
        const { task, worker } = run;
        const { step } = task;
        const startedAtMs = findStart(run);
        if (startedAtMs === undefined || step.spec.lasting || step.spec.filler) {
            return;
        }
        const lastSeenMs = Math.max(startedAtMs, this.reportedAtMs.get(worker) ?? startedAtMs);
        if (pollSentAtMs - lastSeenMs > MAX_SILENCE_MS) {
            return;
        }
        const runs = this.runsByStep.get(step) ?? [];
        runs.push({ worker, runTimeMs: nowMs - startedAtMs });
        this.runsByStep.set(step, runs);
    }

    /** Records that a step is done. */
    public recordStepDone(step: StepState): void {
        const runs = this.runsByStep.get(step);
        if (runs) {
            this.runsByStep.delete(step);
            this.stepObserved.fire({ step, runs });
        }
    }
}

/** Time at which a run, or the last member of its gang, was confirmed; undefined when a start was not seen. */
function findStart(run: RunState): number | undefined {
    const { step } = run.task;
    let startedAtMs: number | undefined;
    for (const task of step.spec.gang ? step.tasks : [run.task]) {
        const member = task.run;
        if (member?.run !== run.run || !isSeenFromStart(member) || member.confirmedAtMs === undefined) {
            return undefined;
        }
        startedAtMs = Math.max(startedAtMs ?? 0, member.confirmedAtMs);
    }
    return startedAtMs;
}

/** A run in another phase has a start of which the reply was lost, or is stopped before its end. */
function isSeenFromStart({ startSeen, phase }: RunState): boolean {
    return startSeen && phase === RunPhase.Running;
}
