import type { TimerService } from "@skylarkpath/common/time/TimerService";

interface Bucket {
    tokens: number;
    lastRefillMs: number;
}

/** Parameters of the token bucket that each sending process has. */
export interface PeerRateLimiterOptions {
    readonly messagesPerSecond: number;
    readonly burstMessages: number;
    /** Maximum number of buckets; beyond it the oldest bucket is dropped. */
    readonly maxSenders: number;
}

/** Default rate limit. */
export const DEFAULT_PEER_RATE_LIMITER_OPTIONS: PeerRateLimiterOptions = {
    messagesPerSecond: 20_000,
    burstMessages: 40_000,
    maxSenders: 4096
};

const MILLISECONDS_PER_SECOND = 1000;

/** Limits the message rate of each other process with a token bucket. */
export class PeerRateLimiter {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly timer: TimerService, private readonly options: PeerRateLimiterOptions) {}

    /** Consumes a token for a message of a process; returns false when the process exceeds its rate. */
    public tryConsume(processId: string): boolean {
        const bucket = this.bucketOf(processId);
        const nowMs = this.timer.nowMs();
        const refilled = (nowMs - bucket.lastRefillMs) * this.options.messagesPerSecond / MILLISECONDS_PER_SECOND;
        bucket.tokens = Math.min(this.options.burstMessages, bucket.tokens + refilled);
        bucket.lastRefillMs = nowMs;
        if (bucket.tokens < 1) {
            return false;
        }
        bucket.tokens--;
        return true;
    }

    private bucketOf(processId: string): Bucket {
        let bucket = this.buckets.get(processId);
        if (!bucket) {
            if (this.buckets.size >= this.options.maxSenders) {
                this.buckets.delete(this.buckets.keys().next().value!);
            }
            bucket = { tokens: this.options.burstMessages, lastRefillMs: this.timer.nowMs() };
            this.buckets.set(processId, bucket);
        }
        return bucket;
    }
}
