import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { FULL_PACE_PERCENT, type RunState } from "../state/RunState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** New pace of a filling task. */
export interface PaceChange {
    readonly run: RunState;
    readonly percent: number;
}

const NO_CHANGES: readonly PaceChange[] = [];
/** Share of its bound above which the tail of a serving task calls for slower fillers. */
const SLOWDOWN_THRESHOLD = 0.8;
/** Share below which fillers may be faster again. */
const SPEEDUP_THRESHOLD = 0.6;
/** Fillers get faster by this much at a time, after a while of calm. */
const SPEEDUP_STEP_PERCENT = 20;
const SPEEDUP_INTERVAL_MS = 2500;
/** A pace takes effect within a tenth of a second, and the tail is a figure for the last half second. */
const SLOWDOWN_INTERVAL_MS = 500;
/** A pace that may not have been taken is ordered again after the time within which one takes effect. */
const RETRY_DELAY_MS = 100;
/** A pace below this is none. */
const MIN_PACE_PERCENT = 10;

/** Slows the tasks that fill a worker while a serving task beside them is near its bound. */
export class FillerThrottle {
    constructor(private readonly timer: TimerService) {}

    /** Tells whether both kinds of tasks run on a worker, so that it has to be looked at often. */
    public needsFrequentPolls(worker: WorkerState): boolean {
        return worker.fillerCount > 0 && [...worker.runs.values()].some(isServing);
    }

    /** Decides on the pace of the fillers of a worker after a report. */
    public decide(worker: WorkerState): readonly PaceChange[] {
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
        const changes: PaceChange[] = [];
        for (const run of fillers) {
            const percent = nextPace(run, latencyRatio, nowMs);
            const needsRetry = !run.paceKnown && nowMs - run.pacedAtMs >= RETRY_DELAY_MS;
            if (percent !== run.pacePercent || needsRetry) {
                run.pacePercent = percent;
                run.paceKnown = true;
                run.pacedAtMs = nowMs;
                changes.push({ run, percent });
            }
        }
        return changes;
    }

    /** An order for a pace was not taken; it is given again with the next report. */
    public markUnconfirmed(run: RunState, percent: number): void {
        if (run.pacePercent === percent) {
            run.paceKnown = false;
        }
    }
}

function isServing(run: RunState): boolean {
    return run.task.step.spec.targetMs > 0 && !run.task.step.spec.filler;
}

function nextPace(run: RunState, latencyRatio: number, nowMs: number): number {
    const sinceChangeMs = nowMs - run.pacedAtMs;
    if (latencyRatio >= 1) {
        return 0;
    }
    if (latencyRatio > SLOWDOWN_THRESHOLD && sinceChangeMs >= SLOWDOWN_INTERVAL_MS) {
        const halfPercent = Math.floor(run.pacePercent / 2);
        return halfPercent < MIN_PACE_PERCENT ? 0 : halfPercent;
    }
    if (latencyRatio < SPEEDUP_THRESHOLD && sinceChangeMs >= SPEEDUP_INTERVAL_MS) {
        return Math.min(FULL_PACE_PERCENT, run.pacePercent + SPEEDUP_STEP_PERCENT);
    }
    return run.pacePercent;
}
