import { QuantileEstimator } from "./QuantileEstimator.js";

const MIN_SAMPLES = 3;
const UPDATE_INTERVAL = 16;
const TYPICAL_QUANTILE = 0.5;
const LONG_QUANTILE = 0.9;

/** Run times of the tasks of one profile. */
export class ProfileRunTimes {
    private readonly quantiles = new QuantileEstimator();
    private addedSinceUpdate = 0;
    private learntTypicalMs: number | undefined;
    private learntLongMs: number | undefined;

    /** Run time that half of the tasks stay under; undefined until enough tasks ended. */
    public get typicalMs(): number | undefined {
        return this.learntTypicalMs;
    }

    /** Run time that nearly all tasks stay under; undefined until enough tasks ended. */
    public get longMs(): number | undefined {
        return this.learntLongMs;
    }

    /** Learns from a task that succeeded. */
    public add(durationMs: number): void {
        this.quantiles.add(durationMs);
        this.addedSinceUpdate++;
        const isDue = this.quantiles.count <= UPDATE_INTERVAL || this.addedSinceUpdate >= UPDATE_INTERVAL;
        if (isDue && this.quantiles.count >= MIN_SAMPLES) {
            this.addedSinceUpdate = 0;
            this.learntTypicalMs = this.quantiles.quantile(TYPICAL_QUANTILE);
            this.learntLongMs = this.quantiles.quantile(LONG_QUANTILE);
        }
    }
}
