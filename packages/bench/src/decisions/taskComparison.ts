import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { BASELINES, type ComparedScheduler, PROJECT_SCHEDULER } from "./baselines.js";
import type { MeasuredRow } from "./report.js";
import { FUTURE_SHAPE, REPORTS_SHAPE, SATURATED_SHAPE, TRIALS_SHAPE } from "./taskShapes.js";
import { TaskSimulation, type TaskSimulationResult } from "./TaskSimulation.js";
import type { TaskWorkloadShape } from "./TaskWorkload.js";
import { TimedScheduler } from "./TimedScheduler.js";

const WARM_UP_MS = 10 * 60_000;
const FUTURE_WARM_UP_MS = 60_000;
const SCHEDULER_SEED = 99;

/** Compares the schedulers on workloads of today's size. */
export function compareTaskSchedulers(): readonly MeasuredRow[] {
    const rows: MeasuredRow[] = [];
    for (const shape of [TRIALS_SHAPE, REPORTS_SHAPE, SATURATED_SHAPE]) {
        for (const compared of [PROJECT_SCHEDULER, ...BASELINES]) {
            rows.push(measure(shape, compared));
        }
    }
    return rows;
}

/** Measures the project's scheduler at the projected future size; the baselines scan all workers and are left out. */
export function measureFutureSlice(): readonly MeasuredRow[] {
    return [measure(FUTURE_SHAPE, PROJECT_SCHEDULER, FUTURE_WARM_UP_MS)];
}

/** Measures one scheduler on one workload. */
export function measure(shape: TaskWorkloadShape, compared: ComparedScheduler, warmUpMs = WARM_UP_MS): MeasuredRow {
    const scheduler = new TimedScheduler(compared.create(createSeededRandom(SCHEDULER_SEED)));
    const result = new TaskSimulation(shape, scheduler, { warmUpMs }).run();
    return {
        workload: shape.name,
        contender: compared.name,
        ...summarizeWaits(result),
        urgentWaitMaxMs: result.maxUrgentWaitMs,
        packingPercent: result.usage.packing() * 100,
        shareDeviationPoints: result.usage.maxShareDeviationPoints(),
        gangsDue: result.dueGangs,
        gangsMissed: result.missedGangs,
        stopped: result.preemptedCount,
        rejected: result.rejectedCount,
        starts: result.startCount,
        startMicroseconds: scheduler.totalMs * 1000 / Math.max(1, scheduler.startCount)
    };
}

function summarizeWaits(result: TaskSimulationResult): Record<string, number> {
    const summary: Record<string, number> = {};
    for (const stream of ["service", "batch", "short", "gang", "urgent"]) {
        const histogram = result.waitsMs.get(stream);
        if (histogram !== undefined) {
            summary[`${stream}P50Ms`] = histogram.getValueAtPercentile(50);
            summary[`${stream}P99Ms`] = histogram.getValueAtPercentile(99);
            summary[`${stream}MeanMs`] = Math.round(histogram.mean);
        }
    }
    return summary;
}
