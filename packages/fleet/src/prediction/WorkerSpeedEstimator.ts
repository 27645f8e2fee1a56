import type { WorkerState } from "../state/WorkerState.js";

interface WorkerSpeed {
    /** Natural logarithms of the ratios of the last runs, in a ring. */
    readonly logRatios: Float64Array;
    /** Times at which these runs ended. */
    readonly endedAtMs: Float64Array;
    runCount: number;
    factor: number;
    computedAtMs: number;
}

interface WeightedRatio {
    readonly logRatio: number;
    readonly weight: number;
}

/** Runs that are remembered for each worker. */
export const MAX_RUNS_PER_WORKER = 16;
/** Runs of usual speed to which the lack of observations is equivalent. */
const PRIOR_COUNT = 4;
/** A run counts half after this time, so that a worker that got no tasks for being slow is tried again. */
const HALF_LIFE_MS = 60_000;
const REFRESH_INTERVAL_MS = 10_000;

/**
 * Learns how fast workers are from how their runs compare with others of their kind. A worker that restarts is another
 * incarnation and starts without observations.
 */
export class WorkerSpeedEstimator {
    private readonly speeds = new WeakMap<WorkerState, WorkerSpeed>();

    /** Records a run on a worker: its run time divided by the usual one of its kind. */
    public record(worker: WorkerState, ratio: number, nowMs: number): void {
        let speed = this.speeds.get(worker);
        if (!speed) {
            speed = {
                logRatios: new Float64Array(MAX_RUNS_PER_WORKER),
                endedAtMs: new Float64Array(MAX_RUNS_PER_WORKER),
                runCount: 0,
                factor: 1,
                computedAtMs: nowMs
            };
            this.speeds.set(worker, speed);
        }
        const index = speed.runCount % MAX_RUNS_PER_WORKER;
        speed.logRatios[index] = Math.log(ratio);
        speed.endedAtMs[index] = nowMs;
        speed.runCount++;
        refresh(speed, nowMs);
    }

    /** The factor of a worker as last computed; undefined without observations. */
    public lastFactorOf(worker: WorkerState): number | undefined {
        return this.speeds.get(worker)?.factor;
    }

    /** Run times on a worker divided by the usual ones: above 1 on a slow worker, 1 without observations. */
    public runTimeFactorOf(worker: WorkerState, nowMs: number): number {
        const speed = this.speeds.get(worker);
        if (!speed) {
            return 1;
        }
        if (nowMs >= speed.computedAtMs + REFRESH_INTERVAL_MS) {
            refresh(speed, nowMs);
        }
        return speed.factor;
    }
}

function refresh(speed: WorkerSpeed, nowMs: number): void {
    const weighted: WeightedRatio[] = [];
    let totalWeight = 0;
    for (let index = 0; index < Math.min(speed.runCount, MAX_RUNS_PER_WORKER); index++) {
        const weight = 0.5 ** ((nowMs - speed.endedAtMs[index]!) / HALF_LIFE_MS);
        weighted.push({ logRatio: speed.logRatios[index]!, weight });
        totalWeight += weight;
    }
    weighted.sort((left, right) => left.logRatio - right.logRatio);
    speed.factor = Math.exp(middleMean(weighted, totalWeight) * totalWeight / (totalWeight + PRIOR_COUNT));
    speed.computedAtMs = nowMs;
}

/** Mean of the middle half by weight: as robust as the median, and it varies less. */
function middleMean(sorted: readonly WeightedRatio[], totalWeight: number): number {
    let passed = 0;
    let sum = 0;
    for (const { logRatio, weight } of sorted) {
        const from = Math.max(passed, totalWeight / 4);
        passed += weight;
        sum += logRatio * Math.max(0, Math.min(passed, totalWeight * 3 / 4) - from);
    }
    return totalWeight > 0 ? sum / (totalWeight / 2) : 0;
}
