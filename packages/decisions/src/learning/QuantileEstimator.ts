const BUCKETS_PER_OCTAVE = 4;
const BUCKET_COUNT = 128;
const MAX_COUNT_BEFORE_HALVING = 1024;

/** Estimates quantiles of positive samples in logarithmic buckets; older samples gradually lose weight. */
export class QuantileEstimator {
    private readonly counts = new Float32Array(BUCKET_COUNT);
    private total = 0;

    public get count(): number {
        return this.total;
    }

    /** Adds a sample; samples below one count as one. */
    public add(sample: number): void {
        if (this.total >= MAX_COUNT_BEFORE_HALVING) {
            this.halveCounts();
        }
        const bucket = bucketOf(sample);
        this.counts[bucket] = this.counts[bucket]! + 1;
        this.total++;
    }

    /** Estimates the value below which the given fraction of the samples lies; undefined without samples. */
    public quantile(fraction: number): number | undefined {
        if (this.total <= 0) {
            return undefined;
        }
        const rank = fraction * this.total;
        let cumulativeCount = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            cumulativeCount += this.counts[bucket]!;
            if (cumulativeCount >= rank && cumulativeCount > 0) {
                return midpointOf(bucket);
            }
        }
        return midpointOf(BUCKET_COUNT - 1);
    }

    private halveCounts(): void {
        this.total = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            const halved = this.counts[bucket]! / 2;
            this.counts[bucket] = halved;
            this.total += halved;
        }
    }
}

function bucketOf(sample: number): number {
    const bucket = Math.floor(Math.log2(Math.max(1, sample)) * BUCKETS_PER_OCTAVE);
    return Math.min(BUCKET_COUNT - 1, bucket);
}

function midpointOf(bucket: number): number {
    return 2 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE);
}
