import type { FleetState } from "../state/FleetState.js";
import type { WorkerState } from "../state/WorkerState.js";
import type { RankedStep } from "./StepOrder.js";

/** Penalty of a worker that is slow after its start, for steps with time to spare: less than the rack of the data. */
const COLD_PENALTY = 10;
/** The same for steps that would end late there: more than the rack of the data, less than a failed run. */
const NO_TIME_PENALTY = 300;

/**
 * Returns how much a worker's score for a step is reduced while the worker is slow after its start. Nothing is known of
 * how slow it is, so the step counts as if it began to run only once the worker is warm.
 */
export function warmUpPenalty(
    fleet: FleetState,
    worker: WorkerState,
    { step, dueMs }: RankedStep,
    nowMs: number
): number {
    const { warmAtMs = 0 } = worker.entry;
    if (warmAtMs <= nowMs) {
        return 0;
    }
    return warmAtMs + fleet.expectedDurationMs(step) > dueMs ? NO_TIME_PENALTY : COLD_PENALTY;
}
