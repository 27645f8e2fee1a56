import type { JobSpec } from "../model/JobSpec.js";
import {
    type PlacementPreview,
    PreviewFailure,
    type PreviewQuery,
    type StepPreview,
    type VerdictCount
} from "../ports/PlacementPreview.js";
import { type FleetState, NO_TEAM } from "../state/FleetState.js";
import { JobState } from "../state/JobState.js";
import type { StepState } from "../state/StepState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { QueuedStep, RankedStep } from "./RankedStep.js";
import { orderSteps } from "./StepOrder.js";
import { explainWait } from "./WaitReason.js";
import { judgeWorker, WorkerVerdict } from "./WorkerVerdict.js";

/** Workers that a preview names for each verdict. */
const MAX_EXAMPLES = 5;
/** No job has this id, since ids of callers have 16 digits. */
const PREVIEW_ID = "preview";

/** Tells what would become of a job if it were submitted now. Nothing is stored, started, reserved or asked. */
export class PlacementPreviewer {
    constructor(
        private readonly fleet: FleetState,
        private readonly isReserved: (queued: QueuedStep, worker: WorkerState) => boolean
    ) {}

    /** Previews the placement of a job. */
    public preview(query: PreviewQuery, nowMs: number): PlacementPreview | PreviewFailure {
        const queue = this.fleet.queue(query.queue);
        if (!queue) {
            return PreviewFailure.UnknownQueue;
        }
        if (query.team === NO_TEAM ? !queue.open : !this.fleet.team(query.team)) {
            return PreviewFailure.UnknownTeam;
        }
        const job = this.createJob(query, nowMs);
        const order = this.orderWith(job, nowMs);
        const steps = [...job.openSteps()];
        return {
            queue: queue.name,
            team: query.team,
            priority: queue.priority,
            objectiveMs: queue.stretchFactor * job.criticalPathMs + queue.targetLatencyMs,
            expectedDurationMs: this.longestChainMs(steps),
            waitingSteps: order.filter(({ step }) => step.job !== job).length,
            steps: steps.map(step => this.previewStep({ step, queue }, order, nowMs))
        };
    }

    private createJob({ queue, team, steps }: PreviewQuery, nowMs: number): JobState {
        const spec: JobSpec = {
            id: PREVIEW_ID,
            queue,
            team,
            payload: "",
            steps,
            schedule: { firstStartMs: 0, periodMs: 0, occurrences: 0 },
            acceptedWallMs: nowMs + this.fleet.clockOffsetMs
        };
        const job = new JobState(spec, nowMs, 0, 1);
        job.openDueOccurrences(nowMs + this.fleet.clockOffsetMs);
        return job;
    }

    /** Order of all waiting steps with those of the job, which the fleet holds during this call only. */
    private orderWith(job: JobState, nowMs: number): readonly RankedStep[] {
        this.fleet.jobs.set(job.spec.id, job);
        try {
            return orderSteps(this.fleet, nowMs);
        }
        finally {
            this.fleet.jobs.delete(job.spec.id);
        }
    }

    private previewStep(queued: QueuedStep, order: readonly RankedStep[], nowMs: number): StepPreview {
        const { step, queue } = queued;
        const { spec } = step;
        const verdicts = new Map<WorkerVerdict, string[]>();
        let fits = 0;
        for (const worker of this.fleet.workers.values()) {
            const verdict = judgeWorker(queued, worker, nowMs, this.isReserved(queued, worker));
            const workers = verdicts.get(verdict) ?? [];
            workers.push(worker.id);
            verdicts.set(verdict, workers);
            if (verdict === WorkerVerdict.HasRoom) {
                const fitCount = worker.countFits(spec.size, spec.filler);
                fits += spec.maximumPerWorker > 0 ? Math.min(fitCount, spec.maximumPerWorker) : fitCount;
            }
        }
        // A step whose earlier steps are not done has no place yet.
        const place = order.findIndex(ranked => ranked.step === step);
        const withinLimit = this.fleet.countWithinTeamLimit(step.job.spec.team, spec.size);
        const startable = Math.min(fits, withinLimit, spec.taskCount);
        const fitsNow = place < 0 || (spec.gang && startable < spec.taskCount) ? 0 : startable;
        const needsPermits = queue.policy !== undefined;
        return {
            step: step.number,
            tasks: spec.taskCount,
            after: spec.after,
            fitsNow,
            waitReason: place < 0 || (fitsNow === spec.taskCount && !needsPermits)
                ? undefined
                : explainWait(this.fleet, step, nowMs, worker => this.isReserved(queued, worker)),
            stepsAhead: place < 0 ? undefined : place,
            tasksWithinTeamLimit: withinLimit,
            expectedDurationMs: Math.round(this.fleet.expectedDurationMs(step)),
            needsPermits,
            workers: [...verdicts].map(([verdict, workers]): VerdictCount => ({
                verdict,
                workers: workers.length,
                examples: workers.slice(0, MAX_EXAMPLES)
            }))
        };
    }

    private longestChainMs(steps: readonly StepState[]): number {
        const chainsMs: number[] = [];
        for (const step of steps) {
            const earlierMs = Math.max(0, ...step.spec.after.map(number => chainsMs[number] ?? 0));
            chainsMs.push(earlierMs + this.fleet.expectedDurationMs(step));
        }
        return Math.round(Math.max(0, ...chainsMs));
    }
}
