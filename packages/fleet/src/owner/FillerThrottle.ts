import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { FULL_SPEED_PERCENT, type RunState } from "../state/RunState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** New speed limit of a filler task, as a percentage of its full speed. */
export interface SpeedLimitChange {
    readonly run: RunState;
    readonly percent: number;
}

const NO_CHANGES: readonly SpeedLimitChange[] = [];
/** Fillers slow down while the tail latency of a serving task is above this share of its target. */
const SLOWDOWN_THRESHOLD = 0.8;
/** Fillers may speed up while the tail latencies of all serving tasks are below this share of their targets. */
const SPEEDUP_THRESHOLD = 0.6;
/** Fillers speed up by this much at a time, at least the interval below after the last change of their speed limit. */
const SPEEDUP_STEP_PERCENT = 20;
const SPEEDUP_INTERVAL_MS = 2500;
/**
 * Minimum time between a change of the speed limit and the next reduction. A limit takes effect within 100 ms, and the
 * tail latency is measured over the last 500 ms.
 */
const SLOWDOWN_INTERVAL_MS = 500;
/** An unconfirmed order is repeated after this time, within which a speed limit takes effect. */
const RETRY_DELAY_MS = 100;
/** A limit that would be lower is set to zero. */
const MIN_SPEED_LIMIT_PERCENT = 10;

/** Slows down the filler tasks of a worker while a serving task there is near or above its tail-latency target. */
export class FillerThrottle {
    constructor(private readonly timer: TimerService) {}

    /** Returns whether filler tasks and serving tasks share a worker, which must then be polled often. */
    public needsFrequentPolls(worker: WorkerState): boolean {
        return worker.fillerCount > 0 && [...worker.runs.values()].some(isServing);
    }

    /** Adjusts the speed limits of the fillers of a worker after a report; returns the limits to be ordered. */
    public adjustSpeedLimits(worker: WorkerState): readonly SpeedLimitChange[] {
        if (worker.fillerCount === 0) {
            return NO_CHANGES;
        }
        const runs = [...worker.runs.values()];
        const fillers = runs.filter(run => run.task.step.spec.filler);
        const latencyRatio = Math.max(
            0,
            ...runs.filter(isServing).map(run => (run.load ?? 0) / run.task.step.spec.targetMs)
        );
        const nowMs = this.timer.nowMs();
        const changes: SpeedLimitChange[] = [];
        for (const run of fillers) {
            const percent = nextSpeedLimit(run, latencyRatio, nowMs);
            const needsRetry = !run.speedLimitKnown && nowMs - run.speedLimitSetAtMs >= RETRY_DELAY_MS;
            if (percent !== run.speedLimitPercent || needsRetry) {
                run.speedLimitPercent = percent;
                run.speedLimitKnown = true;
                run.speedLimitSetAtMs = nowMs;
                changes.push({ run, percent });
            }
        }
        return changes;
    }

    /** Records that the worker did not confirm a speed limit, so that it is ordered again after a later report. */
    public markUnconfirmed(run: RunState, percent: number): void {
        if (run.speedLimitPercent === percent) {
            run.speedLimitKnown = false;
        }
    }
}

function isServing(run: RunState): boolean {
    return run.task.step.spec.targetMs > 0 && !run.task.step.spec.filler;
}

function nextSpeedLimit(run: RunState, latencyRatio: number, nowMs: number): number {
    const sinceChangeMs = nowMs - run.speedLimitSetAtMs;
    if (latencyRatio >= 1) {
        return 0;
    }
    if (latencyRatio > SLOWDOWN_THRESHOLD && sinceChangeMs >= SLOWDOWN_INTERVAL_MS) {
        const halfPercent = Math.floor(run.speedLimitPercent / 2);
        return halfPercent < MIN_SPEED_LIMIT_PERCENT ? 0 : halfPercent;
    }
    if (latencyRatio < SPEEDUP_THRESHOLD && sinceChangeMs >= SPEEDUP_INTERVAL_MS) {
        return Math.min(FULL_SPEED_PERCENT, run.speedLimitPercent + SPEEDUP_STEP_PERCENT);
    }
    return run.speedLimitPercent;
}
