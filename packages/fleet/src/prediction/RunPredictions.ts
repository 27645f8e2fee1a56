import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { Event } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { criticalPath } from "../model/criticalPath.js";
import type { FleetState } from "../state/FleetState.js";
import type { ObservedStep } from "./RunObserver.js";
import { RunTimeEstimator } from "./RunTimeEstimator.js";

const REPORT_INTERVAL_MS = 10_000;
/** Kinds of steps that each report names: those that were observed last. */
const MAX_REPORTED_KINDS = 40;

/**
 * Learns run times from the steps that this owner saw, and gives them to the fleet's state. Nothing is stored: a new
 * owner starts with the callers' estimates.
 */
export class RunPredictions implements Disposable {
    public readonly runTimes = new RunTimeEstimator();
    private readonly disposables = new DisposableStore();

    constructor(
        fleet: FleetState,
        onStepObserved: Event<ObservedStep>,
        private readonly timer: TimerService,
        private readonly log: EventLog
    ) {
        fleet.expectedDurationMs = step => this.runTimes.expectedMs(step, timer.nowMs());
        fleet.likelyDurationMs = step => this.runTimes.likelyMs(step, timer.nowMs());
        fleet.latestDurationMs = step => this.runTimes.latestMs(step, timer.nowMs());
        fleet.expectedPathMs = job =>
            criticalPath(job.spec.steps, spec => this.runTimes.expectedMs({ job, spec }, timer.nowMs()));
        this.disposables.add(onStepObserved(observed => this.learn(observed)));
        this.disposables.add(timer.every(REPORT_INTERVAL_MS, () => this.report()));
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private learn({ step, runs }: ObservedStep): void {
        const nowMs = this.timer.nowMs();
        const { nearRack } = step.spec;
        // A run in another rack than its data is slower for that reason.
        const comparable = runs.filter(({ worker }) => nearRack === undefined || worker.entry.rack === nearRack);
        this.runTimes.record(step, comparable.map(({ runTimeMs }) => runTimeMs), nowMs);
    }

    private report(): void {
        const nowMs = this.timer.nowMs();
        for (const { kind, count, factor } of this.runTimes.summarize(MAX_REPORTED_KINDS, nowMs)) {
            this.log.write(EVENTS.runTimesLearnt, { queue: kind, steps: count, factor: Number(factor.toFixed(2)) });
        }
    }
}
