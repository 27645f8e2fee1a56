import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { JobPhase } from "../model/JobSpec.js";
import { type Placement, PlacementPlanner } from "../placement/PlacementPlanner.js";
import { PlacementPreviewer } from "../placement/PlacementPreviewer.js";
import type { RankedStep } from "../placement/StepOrder.js";
import type { WaitReason } from "../placement/WaitReason.js";
import type { PlacementPreview, PreviewFailure, PreviewQuery } from "../ports/PlacementPreview.js";
import { OrderOutcome } from "../ports/WorkerClient.js";
import type { FleetState } from "../state/FleetState.js";
import { RunPhase, type RunState } from "../state/RunState.js";
import type { StepState } from "../state/StepState.js";
import type { PermitRequester } from "./PermitRequester.js";
import type { RunTracker } from "./RunTracker.js";
import type { StartWindow } from "./StartWindow.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";

/** Time for which a worker gets no tasks after it refused one, unless for a missing permit or a stale order. */
const REFUSAL_PAUSE_MS = 300;
/** The same for a worker that reported itself unhealthy. */
const UNHEALTHY_PAUSE_MS = 1000;

/** Sends the start orders of each plan to the workers and applies their replies to the fleet state. */
export class Dispatcher {
    private readonly planner: PlacementPlanner;
    private readonly previewer: PlacementPreviewer;

    constructor(
        private readonly fleet: FleetState,
        private readonly registry: WorkerRegistry,
        private readonly runs: RunTracker,
        private readonly permitRequester: PermitRequester,
        private readonly window: StartWindow,
        private readonly timer: TimerService,
        private readonly log: EventLog
    ) {
        this.planner = new PlacementPlanner(fleet);
        this.previewer = new PlacementPreviewer(fleet, (ranked, worker) => this.planner.isReserved(ranked, worker));
    }

    /** Plans and orders starts, and requests missing permits. */
    public planAndDispatch(mayStart: (step: StepState) => boolean): void {
        const nowMs = this.timer.nowMs();
        const plan = this.planner.plan(nowMs, mayStart);
        this.window.adjust();
        for (const { step, placements } of plan.starts) {
            if (!this.window.open) {
                break;
            }
            const gangRun = Math.max(...step.tasks.map(task => task.lastRun)) + 1;
            const gangCheckpoint = step.gangCheckpoint;
            for (const placement of placements) {
                const { task } = placement;
                if (!step.spec.gang && !this.window.open) {
                    break;
                }
                const run = step.spec.gang ? gangRun : task.lastRun + 1;
                void this.start(placement, run, step.spec.gang ? gangCheckpoint : task.checkpoint, nowMs);
            }
        }
        this.permitRequester.request(
            plan.stepsNeedingPermits,
            nowMs,
            (queued, worker) => this.planner.isReserved(queued, worker)
        );
    }

    /** Explains why the waiting tasks of a step do not start. */
    public explain(ranked: RankedStep): WaitReason {
        return this.planner.explain(ranked, this.timer.nowMs());
    }

    /** Tells what would become of a job if it were submitted now. */
    public preview(query: PreviewQuery): PlacementPreview | PreviewFailure {
        return this.previewer.preview(query, this.timer.nowMs());
    }

    private async start(placement: Placement, runNumber: number, checkpoint: string, nowMs: number): Promise<void> {
        const { task, worker, permit } = placement;
        const session = this.registry.session(worker);
        if (!session) {
            return;
        }
        const { job } = task.step;
        const run = this.fleet.openRun(task, worker, runNumber, RunPhase.Starting, nowMs);
        run.startSeen = checkpoint === "";
        this.window.begin();
        const reply = await session.startRun(run, job.spec.payload, checkpoint, permit);
        this.window.end();
        if (reply.outcome === OrderOutcome.Accepted) {
            this.handleStarted(run);
            return;
        }
        if (reply.outcome === OrderOutcome.Uncertain) {
            this.registry.resolveUncertainRun(run);
        }
        else {
            this.handleRefused(run, reply.outcome);
        }
        this.log.write(EVENTS.startRefused, {
            requestId: job.spec.id,
            task: task.name,
            worker: worker.id,
            run: runNumber,
            reason: reply.outcome
        });
    }

    private handleStarted(run: RunState): void {
        if (run.worker.runs.get(run.task.name) !== run) {
            return;
        }
        if (run.phase === RunPhase.Starting) {
            run.phase = RunPhase.Running;
            run.confirmedAtMs = this.timer.nowMs();
            run.progressedAtMs = run.confirmedAtMs;
        }
        const { job } = run.task.step;
        if (job.phase === JobPhase.Queued) {
            this.runs.markStarted(job);
        }
        if (run.stopRequested || job.final) {
            this.runs.stopRun(run);
        }
    }

    private handleRefused(run: RunState, outcome: OrderOutcome): void {
        const { worker, task } = run;
        const nowMs = this.timer.nowMs();
        if (outcome === OrderOutcome.NoPermit) {
            task.step.permits.byWorker.delete(worker.id);
            task.step.permits.answeredWorkers.clear();
        }
        else if (outcome === OrderOutcome.Unhealthy) {
            worker.avoidedUntilMs = Math.max(worker.avoidedUntilMs, nowMs + UNHEALTHY_PAUSE_MS);
        }
        else if (outcome !== OrderOutcome.StaleToken && outcome !== OrderOutcome.StaleRun) {
            worker.avoidedUntilMs = Math.max(worker.avoidedUntilMs, nowMs + REFUSAL_PAUSE_MS);
        }
        this.runs.closeRefusedRun(run);
    }
}
