const BUCKETS_PER_OCTAVE = 4;
const BUCKET_COUNT = 128;
const HALVING_COUNT = 1024;

/** Quantiles of positive amounts in logarithmic buckets; older amounts fade. */
export class QuantileEstimator {
    private readonly counts = new Float32Array(BUCKET_COUNT);
    private total = 0;

    public get count(): number {
        return this.total;
    }

    /** Counts an amount. */
    public add(amount: number): void {
        if (this.total >= HALVING_COUNT) {
            this.fade();
        }
        const bucket = bucketOf(amount);
        this.counts[bucket] = this.counts[bucket]! + 1;
        this.total++;
    }

    /** Returns the amount below which the given fraction lies, or undefined without any amounts. */
    public quantile(fraction: number): number | undefined {
        if (this.total <= 0) {
            return undefined;
        }
        const rank = fraction * this.total;
        let seen = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            seen += this.counts[bucket]!;
            if (seen >= rank && seen > 0) {
                return middleOf(bucket);
            }
        }
        return middleOf(BUCKET_COUNT - 1);
    }

    private fade(): void {
        this.total = 0;
        for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            const faded = this.counts[bucket]! / 2;
            this.counts[bucket] = faded;
            this.total += faded;
        }
    }
}

function bucketOf(amount: number): number {
    const position = Math.floor(Math.log2(Math.max(1, amount)) * BUCKETS_PER_OCTAVE);
    return Math.min(BUCKET_COUNT - 1, position);
}

function middleOf(bucket: number): number {
    return 2 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE);
}
