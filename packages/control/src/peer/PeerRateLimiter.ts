import type { TimerService } from "@skylarkpath/common/time/TimerService";

interface Bucket {
    tokens: number;
    lastRefillMs: number;
}

/** Bounds of the messages that one process may send. */
export interface PeerRateLimiterOptions {
    readonly messagesPerSecond: number;
    readonly burstMessages: number;
    readonly maxSenders: number;
}

/** Default bounds of messages. */
export const DEFAULT_PEER_RATE_LIMITER_OPTIONS: PeerRateLimiterOptions = {
    messagesPerSecond: 20_000,
    burstMessages: 40_000,
    maxSenders: 4096
};

const MILLISECONDS_PER_SECOND = 1000;

/** Bounds the rate of messages of each other process. */
export class PeerRateLimiter {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly timer: TimerService, private readonly options: PeerRateLimiterOptions) {}

    /** Takes a message of a process; false when it sends too many. */
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
