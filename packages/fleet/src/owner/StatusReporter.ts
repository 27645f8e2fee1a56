import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventFields, EventLog } from "@skylarkpath/common/log/EventLog";
import type { ProcessorMeter, ProcessorTime } from "@skylarkpath/common/time/ProcessorMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { JobPhase } from "../model/JobSpec.js";
import { orderSteps } from "../placement/StepOrder.js";
import type { FleetState } from "../state/FleetState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { DeferralLog } from "./DeferralLog.js";
import type { Dispatcher } from "./Dispatcher.js";
import type { DurationMeter } from "./DurationMeter.js";
import type { FencedStore } from "./FencedStore.js";
import type { PermitRequester } from "./PermitRequester.js";
import type { StartWindow } from "./StartWindow.js";
import type { WorkerRegistry } from "./WorkerRegistry.js";

const REPORT_INTERVAL_MS = 2000;

/** Logs the state of the fleet at an interval, with the reasons why steps wait. */
export class StatusReporter implements Disposable {
    private readonly interval: Disposable;
    private readonly deferrals: DeferralLog;
    private processorTime: ProcessorTime;

    constructor(
        private readonly fleet: FleetState,
        private readonly registry: WorkerRegistry,
        private readonly fencedStore: FencedStore,
        private readonly dispatcher: Dispatcher,
        private readonly permitRequester: PermitRequester,
        private readonly window: StartWindow,
        private readonly planningDurations: DurationMeter,
        private readonly loopDelayMs: () => number,
        private readonly processorMeter: ProcessorMeter,
        private readonly timer: TimerService,
        private readonly log: EventLog
    ) {
        this.deferrals = new DeferralLog(log);
        this.processorTime = processorMeter();
        this.interval = timer.every(REPORT_INTERVAL_MS, () => this.report());
    }

    public dispose(): void {
        this.interval.dispose();
    }

    private report(): void {
        const nowMs = this.timer.nowMs();
        const reasons: Record<string, number> = {};
        const reasonsByQueue: Record<string, number> = {};
        const standings: Record<string, number> = {};
        let longest: { readonly step: string; readonly waitMs: number; readonly reason: string; } | undefined;
        for (const ranked of orderSteps(this.fleet, nowMs)) {
            const { step } = ranked;
            const reason = this.dispatcher.explain(ranked);
            standings[ranked.standing] = (standings[ranked.standing] ?? 0) + 1;
            this.deferrals.record(ranked, reason, nowMs);
            const waitMs = Math.round(nowMs - (step.readyAtMs ?? nowMs));
            reasons[reason] = (reasons[reason] ?? 0) + 1;
            const queueReason = `${ranked.queue.name}/${reason}`;
            reasonsByQueue[queueReason] = (reasonsByQueue[queueReason] ?? 0) + 1;
            if (waitMs > (longest?.waitMs ?? -1)) {
                longest = { step: step.name, waitMs, reason };
            }
        }
        this.deferrals.endReport();
        const workers = [...this.fleet.workers.values()];
        const planning = this.planningDurations.read();
        const previousTime = this.processorTime;
        this.processorTime = this.processorMeter();
        const questions = this.permitRequester.readStatistics();
        const fields: EventFields = {
            epoch: this.fencedStore.epoch,
            confirmedAgeMs: Math.round(this.fencedStore.confirmedAgeMs),
            loopDelayMs: Math.round(this.loopDelayMs()),
            processorMs: Math.round(this.processorTime.totalMs - previousTime.totalMs),
            collectionMs: Math.round(this.processorTime.collectionMs - previousTime.collectionMs),
            settled: this.registry.settled,
            jobs: this.fleet.jobs.size,
            jobsQueued: [...this.fleet.jobs.values()].filter(job => job.phase === JobPhase.Queued).length,
            runs: workers.reduce((sum, worker) => sum + worker.runs.size, 0),
            workers: workers.length,
            workersUsable: workers.filter(worker => worker.canStart(nowMs)).length,
            waiting: formatCounts(reasons),
            waitingByQueue: formatCounts(reasonsByQueue),
            standings: formatCounts(standings),
            freeProcessors: Math.round(workers.reduce((sum, worker) => sum + freeProcessors(worker, nowMs), 0)),
            startsInFlight: this.window.inFlightCount,
            answers: questions.answers.count,
            answerMeanMs: Math.round(questions.answers.meanMs),
            answerLongestMs: Math.round(questions.answers.maxMs),
            lateAnswers: questions.lateAnswers,
            failedQuestions: questions.failedQuestions,
            policyMeanMs: Math.round(questions.policyTimes.meanMs),
            policyLongestMs: Math.round(questions.policyTimes.maxMs),
            questionsOpen: questions.open,
            channels: questions.activeChannels,
            channelsFree: questions.freeChannels,
            decisions: planning.count,
            decisionMeanMs: Number(planning.meanMs.toFixed(2)),
            decisionLongestMs: Number(planning.maxMs.toFixed(1)),
            longestStep: longest?.step,
            longestWaitMs: longest?.waitMs,
            longestReason: longest?.reason
        };
        this.log.write(EVENTS.fleetStatus, fields);
    }
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
    return Object.entries(counts).map(([name, count]) => `${name}:${count}`).join(" ");
}

/** Processors that new tasks can use on a worker. */
function freeProcessors(worker: WorkerState, nowMs: number): number {
    return worker.canStart(nowMs) ? Math.max(0, worker.entry.capacity.cpuMilli - worker.used.cpuMilli) / 1000 : 0;
}
