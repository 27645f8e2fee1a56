import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import type { MeasuredRow } from "./report.js";
import { ScaleRun, type ScaleShape } from "./ScaleRun.js";
import { TimedScheduler } from "./TimedScheduler.js";

const SEED = 4001;
const WARM_UP_STARTS = 60_000;
const MEASURED_STARTS = 120_000;
const MICROSECONDS_PER_MILLISECOND = 1000;

const FUTURE_SLICE: ScaleShape = {
    workers: 1_700,
    teams: 230,
    runningTasks: 31_000,
    endsPerDecision: 12,
    backlogPerTeam: 40
};

/** Measures processor time at the size of a slice of the future; the time of the driver is included. */
export function measureScale(): readonly MeasuredRow[] {
    return [
        measure("12 starts a decision", FUTURE_SLICE),
        measure("1 start a decision", { ...FUTURE_SLICE, endsPerDecision: 1 }),
        measure("today's size, 1 start a decision", {
            workers: 30,
            teams: 6,
            runningTasks: 500,
            endsPerDecision: 1,
            backlogPerTeam: 40
        })
    ];
}

function measure(name: string, shape: ScaleShape): MeasuredRow {
    const scheduler = new TimedScheduler(new SliceTaskScheduler(createSeededRandom(SEED)), false);
    const run = new ScaleRun(shape, scheduler, createSeededRandom(SEED + 1));
    run.fill();
    run.churn(WARM_UP_STARTS);
    scheduler.reset();
    const usageBefore = process.cpuUsage();
    const startedAtMs = performance.now();
    run.churn(MEASURED_STARTS);
    const elapsedMs = performance.now() - startedAtMs;
    const usage = process.cpuUsage(usageBefore);
    const histogram = scheduler.decideNanoseconds;
    return {
        name,
        running: run.runningCount,
        decisionP50Microseconds: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        decisionP99Microseconds: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND,
        decisionProcessorP50Microseconds: scheduler.decideMicroseconds.getValueAtPercentile(50),
        decisionProcessorP99Microseconds: scheduler.decideMicroseconds.getValueAtPercentile(99),
        decisionMaxMicroseconds: histogram.maxValue / MICROSECONDS_PER_MILLISECOND,
        startsPerSecond: scheduler.startCount / elapsedMs * 1000,
        processorMicrosecondsPerStart: (usage.user + usage.system) / scheduler.startCount
    };
}
