const BUCKETS_PER_OCTAVE = 4;
const BUCKET_COUNT = 128;
const MAX_COUNT = 1024;

/** Quantiles of positive amounts in logarithmic buckets; older amounts fade. */
export class QuantileEstimator {
    private readonly counts = new Float32Array(BUCKET_COUNT);
    private total = 0;

    public get count(): number {
        return this.total;
    }

    /** Counts an amount. */
    public add(sample: number): void {
        if (this.total >= MAX_COUNT) {
            this.halveCounts();
        }
        const bucket = bucketOf(sample);
        this.counts[bucket] = this.counts[bucket]! + 1;
        this.total++;
    }

    /** Returns the amount below which the given fraction lies, or undefined without any amounts. */
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
