import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { BASELINES, type Contender, PROJECT_CONTENDER } from "./baselines.js";
import type { MeasuredRow } from "./report.js";
import { TaskRun, type TaskRunResult } from "./TaskRun.js";
import { FUTURE_SHAPE, REPORTS_SHAPE, SATURATED_SHAPE, TRIALS_SHAPE } from "./taskShapes.js";
import type { TaskWorkloadShape } from "./TaskWorkload.js";
import { TimedScheduler } from "./TimedScheduler.js";

const WARM_UP_MS = 10 * 60_000;
const FUTURE_WARM_UP_MS = 60_000;
const RANDOM_SEED = 99;

/** Compares the schedulers on the workloads of today. */
export function compareTasks(): readonly MeasuredRow[] {
    const rows: MeasuredRow[] = [];
    for (const shape of [TRIALS_SHAPE, REPORTS_SHAPE, SATURATED_SHAPE]) {
        for (const contender of [PROJECT_CONTENDER, ...BASELINES]) {
            rows.push(measure(shape, contender));
        }
    }
    return rows;
}

/** Runs a slice of the future; baselines that scan all workers are left out. */
export function runFuture(): readonly MeasuredRow[] {
    return [measure(FUTURE_SHAPE, PROJECT_CONTENDER, FUTURE_WARM_UP_MS)];
}

/** Measures one scheduler on one workload. */
export function measure(shape: TaskWorkloadShape, contender: Contender, warmUpMs = WARM_UP_MS): MeasuredRow {
    const scheduler = new TimedScheduler(contender.create(createSeededRandom(RANDOM_SEED)));
    const result = new TaskRun(shape, scheduler, { warmUpMs }).run();
    return {
        workload: shape.name,
        contender: contender.name,
        ...waits(result),
        urgentWaitMaxMs: result.longestUrgentWaitMs,
        packingPercent: result.usage.packing() * 100,
        shareDeviationPoints: result.usage.largestShareDeviation(),
        gangsDue: result.dueGangs,
        gangsMissed: result.missedGangs,
        stopped: result.stoppedCount,
        rejected: result.rejectedCount,
        starts: result.startCount,
        startMicroseconds: scheduler.totalMs * 1000 / Math.max(1, scheduler.startCount)
    };
}

function waits(result: TaskRunResult): Record<string, number> {
    const row: Record<string, number> = {};
    for (const stream of ["service", "batch", "short", "gang", "urgent"]) {
        const histogram = result.waitsMs.get(stream);
        if (histogram !== undefined) {
            row[`${stream}P50Ms`] = histogram.getValueAtPercentile(50);
            row[`${stream}P99Ms`] = histogram.getValueAtPercentile(99);
            row[`${stream}MeanMs`] = Math.round(histogram.mean);
        }
    }
    return row;
}
