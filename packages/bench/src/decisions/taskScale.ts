import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { SliceTaskScheduler } from "@skylarkpath/decisions/SliceTaskScheduler";
import type { MeasuredRow } from "./report.js";
import { type SliceShape, SteadyStateLoad } from "./SteadyStateLoad.js";
import { TimedScheduler } from "./TimedScheduler.js";

const SEED = 4001;
const WARM_UP_STARTS = 60_000;
const MEASURED_STARTS = 120_000;
const NANOSECONDS_PER_MICROSECOND = 1000;

/** Slice at the projected future size. */
const FUTURE_SLICE: SliceShape = {
    workers: 1_700,
    teams: 230,
    runningTasks: 31_000,
    endsPerDecision: 12,
    backlogPerTeam: 40
};

/** Measures decision times, and processor time per start including that of the load generator, by slice size. */
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

function measure(name: string, shape: SliceShape): MeasuredRow {
    const scheduler = new TimedScheduler(new SliceTaskScheduler(createSeededRandom(SEED)), false);
    const load = new SteadyStateLoad(shape, scheduler, createSeededRandom(SEED + 1));
    load.fill();
    load.churn(WARM_UP_STARTS);
    scheduler.reset();
    const usageBefore = process.cpuUsage();
    const startedAtMs = performance.now();
    load.churn(MEASURED_STARTS);
    const elapsedMs = performance.now() - startedAtMs;
    const usage = process.cpuUsage(usageBefore);
    const elapsedNanoseconds = scheduler.decideElapsedNanoseconds;
    return {
        name,
        running: load.runningCount,
        decisionP50Microseconds: elapsedNanoseconds.getValueAtPercentile(50) / NANOSECONDS_PER_MICROSECOND,
        decisionP99Microseconds: elapsedNanoseconds.getValueAtPercentile(99) / NANOSECONDS_PER_MICROSECOND,
        decisionProcessorP50Microseconds: scheduler.decideProcessorMicroseconds.getValueAtPercentile(50),
        decisionProcessorP99Microseconds: scheduler.decideProcessorMicroseconds.getValueAtPercentile(99),
        decisionMaxMicroseconds: elapsedNanoseconds.maxValue / NANOSECONDS_PER_MICROSECOND,
        startsPerSecond: scheduler.startCount / elapsedMs * 1000,
        processorMicrosecondsPerStart: (usage.user + usage.system) / scheduler.startCount
    };
}
