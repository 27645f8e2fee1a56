import { QuantileEstimator } from "./QuantileEstimator.js";

const MIN_SAMPLES = 3;
const UPDATE_INTERVAL = 16;
const MEDIAN_QUANTILE = 0.5;
const HIGH_QUANTILE = 0.9;

/** Run time estimates for the tasks of one profile, that is, one queue or service. */
export class ProfileRunTimes {
    private readonly quantiles = new QuantileEstimator();
    private addedSinceUpdate = 0;
    private estimatedMedianMs: number | undefined;
    private estimatedP90Ms: number | undefined;

    /** Median run time; undefined until enough tasks have succeeded. */
    public get medianMs(): number | undefined {
        return this.estimatedMedianMs;
    }

    /** 90th percentile of the run time; undefined until enough tasks have succeeded. */
    public get p90Ms(): number | undefined {
        return this.estimatedP90Ms;
    }

    /** Adds the run time of a task that succeeded. */
    public add(durationMs: number): void {
        this.quantiles.add(durationMs);
        this.addedSinceUpdate++;
        const isDue = this.quantiles.count <= UPDATE_INTERVAL || this.addedSinceUpdate >= UPDATE_INTERVAL;
        if (isDue && this.quantiles.count >= MIN_SAMPLES) {
            this.addedSinceUpdate = 0;
            this.estimatedMedianMs = this.quantiles.quantile(MEDIAN_QUANTILE);
            this.estimatedP90Ms = this.quantiles.quantile(HIGH_QUANTILE);
        }
    }
}
