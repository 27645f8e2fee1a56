import { type RankedStep, Usefulness } from "../placement/StepOrder.js";
import type { FleetState } from "../state/FleetState.js";
import type { WorkerState } from "../state/WorkerState.js";

/** Width on a logarithmic scale of the classes in which workers count as equally fast. */
const CLASS_WIDTH = 0.1;
/** A job with less slack than this multiple of the expected run time is tight. */
const TIGHT_SLACK_FACTOR = 0.5;

/** Score of workers by their learnt speed: zero for a worker without observations. */
export type SpeedScore = (worker: WorkerState) => number;

/** Returns the speed class of a run time factor: zero for the usual speed, above zero for slow workers. */
export function speedClass(runTimeFactor: number): number {
    return Math.round(Math.log(runTimeFactor) / CLASS_WIDTH);
}

/** Scores fast workers higher for a tight job; any other job leaves them free. */
export function scoreSpeed(fleet: FleetState, ranked: RankedStep, nowMs: number): SpeedScore {
    const tight = isTight(fleet, ranked, nowMs);
    return worker => {
        const slowness = speedClass(fleet.runTimeFactorOf(worker));
        return (tight ? -slowness : Math.min(0, slowness)) * CLASS_WIDTH;
    };
}

/** Whether a job ends in time, but hardly if its tasks run on slow workers. */
export function isTight(fleet: FleetState, { step, dueMs, usefulness }: RankedStep, nowMs: number): boolean {
    if (usefulness === Usefulness.None) {
        return false;
    }
    const expectedMs = fleet.expectedDurationMs(step);
    const laterStepCount = step.job.spec.steps.length - 1 - step.number;
    const slackMs = dueMs - nowMs - expectedMs * (1 + laterStepCount);
    return slackMs < TIGHT_SLACK_FACTOR * expectedMs;
}
