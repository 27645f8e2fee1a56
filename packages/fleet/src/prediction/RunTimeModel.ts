/** Prediction of a run time, in ms. */
export interface RunTimePrediction {
    readonly expectedMs: number;
    /** Time within which most runs end; the estimate itself without observations. */
    readonly likelyMs: number;
    /** Time within which all but a few runs end. */
    readonly latestMs: number;
}

interface Observation {
    readonly atMs: number;
    /** Natural logarithm of the caller's estimate. */
    readonly logEstimate: number;
    /** Natural logarithm of the actual run time divided by the estimate. */
    readonly logRatio: number;
}

interface Fit {
    readonly atMs: number;
    readonly meanLogEstimate: number;
    readonly minLogEstimate: number;
    readonly maxLogEstimate: number;
    readonly intercept: number;
    readonly slope: number;
    readonly likelyResidual: number;
    readonly latestResidual: number;
}

/** Number of steps, and of single runs for the spread, that a model remembers. */
export const MAX_OBSERVATIONS = 128;
/** Runs of one step that enter the spread, evenly taken from the shortest to the longest. */
const RUNS_PER_STEP = 8;
/** Observations to which the caller's estimate is equivalent. */
const PRIOR_COUNT = 4;
/** Variance of the logarithm of the estimates below which their scale cannot be told from few observations. */
const PRIOR_VARIANCE = 0.25;
/** An observation counts half after this many further ones, and half after this time. */
const HALF_LIFE_COUNT = 32;
const HALF_LIFE_MS = 600_000;
/** Observations farther from the median than this multiple of the spread are moved to that distance. */
const OUTLIER_FACTOR = 3;
/** Ratio of the standard deviation of a normal distribution to its median absolute deviation. */
const DEVIATION_PER_MEDIAN = 1.4826;
const LIKELY_QUANTILE = 0.8;
const LATEST_QUANTILE = 0.95;
/** Logarithm of the ratio of the latest to the expected run time that is assumed without observations. */
const PRIOR_LATEST_RESIDUAL = Math.log(3);
const PRIOR_SPREAD_COUNT = 16;
const MIN_REFIT_INTERVAL_MS = 250;

const CALLERS_ESTIMATE = {
    meanLogEstimate: 0,
    minLogEstimate: 0,
    maxLogEstimate: 0,
    intercept: 0,
    slope: 0,
    likelyResidual: 0,
    latestResidual: PRIOR_LATEST_RESIDUAL
};

/**
 * Run times of steps of one kind as a function of their callers' estimates: a straight line on logarithmic scales, whose
 * slope is 1 where the estimates tell the run times apart, and near 0 where they do not. It starts as the estimate itself.
 */
export class RunTimeModel {
    private readonly steps: Observation[] = [];
    private readonly residuals: number[] = [];
    private fit: Fit = { atMs: 0, ...CALLERS_ESTIMATE };
    private stale = false;

    /** Number of remembered steps. */
    public get count(): number {
        return this.steps.length;
    }

    /** Number of remembered runs for the spread. */
    public get residualCount(): number {
        return this.residuals.length;
    }

    /** Records the run times in ms of the tasks of a step, or of one run of a gang. */
    public record(estimateMs: number, runTimesMs: readonly number[], nowMs: number): void {
        if (runTimesMs.length === 0) {
            return;
        }
        const sorted = runTimesMs.map(runTimeMs => Math.max(1, runTimeMs)).sort((left, right) => left - right);
        const logEstimate = Math.log(Math.max(1, estimateMs));
        const logExpected = Math.log(this.predict(estimateMs, nowMs).expectedMs);
        const sampleCount = Math.min(RUNS_PER_STEP, sorted.length);
        for (let index = 0; index < sampleCount; index++) {
            const runTimeMs = sorted[Math.floor((index + 0.5) * sorted.length / sampleCount)]!;
            push(this.residuals, Math.log(runTimeMs) - logExpected);
        }
        const logRatio = Math.log(sorted[Math.floor(sorted.length / 2)]!) - logEstimate;
        push(this.steps, { atMs: nowMs, logEstimate, logRatio });
        this.stale = true;
    }

    /** Predicts the run time of a step from its caller's estimate in ms. */
    public predict(estimateMs: number, nowMs: number): RunTimePrediction {
        if (this.stale && nowMs >= this.fit.atMs + MIN_REFIT_INTERVAL_MS) {
            this.fit = fitObservations(this.steps, this.residuals, nowMs);
            this.stale = false;
        }
        const { meanLogEstimate, minLogEstimate, maxLogEstimate, intercept, slope } = this.fit;
        // Beyond the observed estimates the ratio stays that of the nearest observed one.
        const logEstimate = Math.min(maxLogEstimate, Math.max(minLogEstimate, Math.log(Math.max(1, estimateMs))));
        const expectedMs = estimateMs * Math.exp(intercept + slope * (logEstimate - meanLogEstimate));
        return {
            expectedMs,
            likelyMs: expectedMs * Math.exp(this.fit.likelyResidual),
            latestMs: expectedMs * Math.exp(this.fit.latestResidual)
        };
    }
}

function push<T>(ring: T[], item: T): void {
    ring.push(item);
    if (ring.length > MAX_OBSERVATIONS) {
        ring.shift();
    }
}

function fitObservations(steps: readonly Observation[], residuals: readonly number[], nowMs: number): Fit {
    const ratios = steps.map(({ logRatio }) => logRatio);
    const median = quantile(ratios, 0.5);
    const maxDistance = OUTLIER_FACTOR * DEVIATION_PER_MEDIAN
        * quantile(ratios.map(ratio => Math.abs(ratio - median)), 0.5);
    const points = steps.map(({ atMs, logEstimate, logRatio }, index) => ({
        weight: 0.5 ** ((steps.length - 1 - index) / HALF_LIFE_COUNT + (nowMs - atMs) / HALF_LIFE_MS),
        logEstimate,
        logRatio: Math.min(median + maxDistance, Math.max(median - maxDistance, logRatio))
    }));
    let [weight, estimateSum, ratioSum] = [0, 0, 0];
    for (const point of points) {
        weight += point.weight;
        estimateSum += point.weight * point.logEstimate;
        ratioSum += point.weight * point.logRatio;
    }
    const meanLogEstimate = estimateSum / weight;
    let [variance, covariance] = [0, 0];
    for (const point of points) {
        const distance = point.logEstimate - meanLogEstimate;
        variance += point.weight * distance * distance;
        covariance += point.weight * distance * (point.logRatio - ratioSum / weight);
    }
    const logEstimates = steps.map(({ logEstimate }) => logEstimate);
    const spreadWeight = residuals.length / (residuals.length + PRIOR_SPREAD_COUNT);
    return {
        atMs: nowMs,
        meanLogEstimate,
        minLogEstimate: Math.min(...logEstimates),
        maxLogEstimate: Math.max(...logEstimates),
        intercept: ratioSum / (weight + PRIOR_COUNT),
        slope: covariance / (variance + PRIOR_COUNT * PRIOR_VARIANCE),
        likelyResidual: spreadWeight * quantile(residuals, LIKELY_QUANTILE),
        latestResidual: spreadWeight * quantile(residuals, LATEST_QUANTILE)
            + (1 - spreadWeight) * PRIOR_LATEST_RESIDUAL
    };
}

function quantile(values: readonly number[], share: number): number {
    const sorted = [...values].sort((left, right) => left - right);
    return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}
