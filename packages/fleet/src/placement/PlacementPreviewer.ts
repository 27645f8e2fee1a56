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
import { orderSteps, type RankedStep } from "./StepOrder.js";
import { explainWait, WaitReason } from "./WaitReason.js";
import { judgeWorker, WorkerVerdict } from "./WorkerVerdict.js";

/** Workers that a preview names for each verdict. */
const MAX_EXAMPLES = 5;
/** No job has this id, since ids of callers have 16 digits. */
const PREVIEW_ID = "preview";

/** Tells what would become of a job if it were submitted now. Nothing is stored, started, reserved or asked. */
export class PlacementPreviewer {
    constructor(
        private readonly fleet: FleetState,
        private readonly isReserved: (ranked: RankedStep, worker: WorkerState) => boolean
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
        const own = new Map(order.filter(({ step }) => step.job === job).map(ranked => [ranked.step, ranked]));
        const steps = [...job.openSteps()];
        return {
            queue: queue.name,
            team: query.team,
            priority: queue.priority,
            objectiveMs: queue.stretchFactor * job.criticalPathMs + queue.targetLatencyMs,
            expectedDurationMs: this.longestChainMs(steps),
            waitingSteps: order.length - own.size,
            steps: steps.map(step => this.previewStep(own.get(step) ?? { ...order[0]!, step, queue }, order, nowMs))
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

    private previewStep(ranked: RankedStep, order: readonly RankedStep[], nowMs: number): StepPreview {
        const { step, queue } = ranked;
        const { spec } = step;
        const verdicts = new Map<WorkerVerdict, string[]>();
        let fits = 0;
        for (const worker of this.fleet.workers.values()) {
            const verdict = judgeWorker(ranked, worker, nowMs, this.isReserved(ranked, worker));
            const workers = verdicts.get(verdict) ?? [];
            workers.push(worker.id);
            verdicts.set(verdict, workers);
            if (verdict === WorkerVerdict.HasRoom) {
                const fitCount = worker.countFits(spec.size, spec.filler);
                fits += spec.maximumPerWorker > 0 ? Math.min(fitCount, spec.maximumPerWorker) : fitCount;
            }
        }
        const place = order.indexOf(ranked);
        const withinLimit = this.fleet.countWithinTeamLimit(step.job.spec.team, spec.size);
        const startable = Math.min(fits, withinLimit, spec.taskCount);
        const startsNow = place < 0 || (spec.gang && startable < spec.taskCount) ? 0 : startable;
        return {
            step: step.number,
            tasks: spec.taskCount,
            after: spec.after,
            startsNow: queue.policy ? 0 : startsNow,
            waitReason: place < 0 || startsNow === spec.taskCount && !queue.policy
                ? undefined
                : this.explain(ranked, startsNow === spec.taskCount, nowMs),
            stepsAhead: place < 0 ? undefined : place,
            tasksWithinTeamLimit: withinLimit,
            expectedDurationMs: Math.round(this.fleet.expectedDurationMs(step)),
            needsPermits: queue.policy !== undefined,
            workers: [...verdicts].map(([verdict, workers]): VerdictCount => ({
                verdict,
                workers: workers.length,
                examples: workers.slice(0, MAX_EXAMPLES)
            }))
        };
    }

    private explain(ranked: RankedStep, hasRoom: boolean, nowMs: number): WaitReason {
        return hasRoom
            ? WaitReason.NoAnswer
            : explainWait(this.fleet, ranked.step, nowMs, worker => this.isReserved(ranked, worker));
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
