import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { DisposableStore } from "@skylarkpath/common/base/Disposable";
import type { Event } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetState } from "../state/FleetState.js";
import type { ObservedRun, ObservedStep } from "./RunObserver.js";
import { RunTimeEstimator } from "./RunTimeEstimator.js";
import { WorkerSpeedEstimator } from "./WorkerSpeedEstimator.js";

const REPORT_INTERVAL_MS = 10_000;
/** Kinds of steps that each report names: those that were observed last. */
const MAX_REPORTED_KINDS = 40;
/** A run is compared with the others of its step when there are at least this many, otherwise with the expectation. */
const MIN_OTHER_RUNS = 2;

/**
 * Learns run times and worker speeds from the steps that this owner saw, and gives them to the fleet's state. Nothing is
 * stored: a new owner starts with the callers' estimates and workers of equal speed.
 */
export class RunPredictions implements Disposable {
    public readonly runTimes = new RunTimeEstimator();
    public readonly speeds = new WorkerSpeedEstimator();
    private readonly disposables = new DisposableStore();

    constructor(
        private readonly fleet: FleetState,
        onStepObserved: Event<ObservedStep>,
        private readonly timer: TimerService,
        private readonly log: EventLog
    ) {
        fleet.expectedDurationMs = step => this.runTimes.expectedMs(step, timer.nowMs());
        fleet.likelyDurationMs = step => this.runTimes.likelyMs(step, timer.nowMs());
        fleet.latestDurationMs = step => this.runTimes.latestMs(step, timer.nowMs());
        fleet.runTimeFactorOf = worker => this.speeds.runTimeFactorOf(worker, timer.nowMs());
        this.disposables.add(onStepObserved(observed => this.learn(observed)));
        this.disposables.add(timer.every(REPORT_INTERVAL_MS, () => this.report()));
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private learn({ step, runs }: ObservedStep): void {
        const nowMs = this.timer.nowMs();
        const { gang, nearRack } = step.spec;
        // A run in another rack than its data is slower for that reason.
        const comparable = runs.filter(({ worker }) => nearRack === undefined || worker.entry.rack === nearRack);
        if (!gang) {
            this.learnSpeeds(comparable, this.runTimes.expectedMs(step, nowMs), nowMs);
        }
        this.runTimes.record(step, comparable.map(({ runTimeMs }) => runTimeMs), nowMs);
    }

    private learnSpeeds(runs: readonly ObservedRun[], expectedMs: number, nowMs: number): void {
        const sorted = runs.map(({ runTimeMs }) => runTimeMs).sort((left, right) => left - right);
        for (const { worker, runTimeMs } of runs) {
            const usualMs = runs.length > MIN_OTHER_RUNS ? medianWithout(sorted, runTimeMs) : expectedMs;
            this.speeds.record(worker, Math.max(1, runTimeMs) / Math.max(1, usualMs), nowMs);
        }
    }

    private report(): void {
        const nowMs = this.timer.nowMs();
        for (const { kind, count, factor } of this.runTimes.summarize(MAX_REPORTED_KINDS, nowMs)) {
            this.log.write(EVENTS.runTimesLearnt, { queue: kind, steps: count, factor: Number(factor.toFixed(2)) });
        }
        let [workers, fastest, slowest] = [0, Number.POSITIVE_INFINITY, 0];
        for (const worker of this.fleet.workers.values()) {
            const factor = this.speeds.lastFactorOf(worker);
            if (factor !== undefined) {
                workers++;
                fastest = Math.min(fastest, factor);
                slowest = Math.max(slowest, factor);
            }
        }
        if (workers > 0) {
            this.log.write(EVENTS.workerSpeedsLearnt, {
                workers,
                fastest: Number(fastest.toFixed(2)),
                slowest: Number(slowest.toFixed(2))
            });
        }
    }
}

/** Median of the values other than one of them. */
function medianWithout(sorted: readonly number[], value: number): number {
    const index = sorted.indexOf(value);
    const middle = (sorted.length - 2) / 2;
    const at = (position: number): number => sorted[position < index ? position : position + 1]!;
    return Math.sqrt(at(Math.floor(middle)) * at(Math.ceil(middle)));
}
