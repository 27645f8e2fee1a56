import type { StepKind } from "../state/FleetState.js";
import { RunTimeModel, type RunTimePrediction } from "./RunTimeModel.js";

/** What is known of the run times of one kind of step. */
export interface RunTimeSummary {
    readonly kind: string;
    /** Number of steps that were observed. */
    readonly count: number;
    /** Expected run time divided by the estimate, at the estimate of the last observed step. */
    readonly factor: number;
}

/** Kinds for which a model is kept; the one that was observed least recently is dropped first. */
export const MAX_KINDS = 512;

/**
 * Predicts run times from the callers' estimates and the observed run times of the same queue. It starts with the
 * estimates. Gangs have models of their own, since all their tasks end together.
 */
export class RunTimeEstimator {
    private readonly models = new Map<string, { readonly model: RunTimeModel; lastEstimateMs: number; }>();

    /** Number of kinds with a model. */
    public get kindCount(): number {
        return this.models.size;
    }

    /** Records the run times in ms of the tasks of a step; of a gang, the one of its members. */
    public record(step: StepKind, runTimesMs: readonly number[], nowMs: number): void {
        const kind = kindOf(step);
        const entry = this.models.get(kind) ?? { model: new RunTimeModel(), lastEstimateMs: 0 };
        this.models.delete(kind);
        this.models.set(kind, entry);
        const { estimateMs } = step.spec;
        entry.lastEstimateMs = estimateMs;
        entry.model.record(estimateMs, runTimesMs, nowMs);
        if (this.models.size > MAX_KINDS) {
            const [oldest] = this.models.keys();
            this.models.delete(oldest!);
        }
    }

    /** Expected run time of a task of the step on a worker of usual speed, in ms. */
    public expectedMs(step: StepKind, nowMs: number): number {
        return this.predict(step, nowMs).expectedMs;
    }

    /** Time in ms within which most tasks of such a step end. */
    public likelyMs(step: StepKind, nowMs: number): number {
        return this.predict(step, nowMs).likelyMs;
    }

    /** Time in ms within which all but a few tasks of such a step end. */
    public latestMs(step: StepKind, nowMs: number): number {
        return this.predict(step, nowMs).latestMs;
    }

    /** Describes the models that were observed last. */
    public summarize(maxCount: number, nowMs: number): readonly RunTimeSummary[] {
        return [...this.models].slice(-maxCount).map(([kind, { model, lastEstimateMs }]) => ({
            kind,
            count: model.count,
            factor: model.predict(lastEstimateMs, nowMs).expectedMs / Math.max(1, lastEstimateMs)
        }));
    }

    private predict(step: StepKind, nowMs: number): RunTimePrediction {
        const { lasting, filler, estimateMs } = step.spec;
        const entry = lasting || filler ? undefined : this.models.get(kindOf(step));
        return (entry?.model ?? UNOBSERVED).predict(estimateMs, nowMs);
    }
}

const UNOBSERVED = new RunTimeModel();

function kindOf({ job, spec }: StepKind): string {
    return spec.gang ? `${job.spec.queue}/gang` : job.spec.queue;
}
