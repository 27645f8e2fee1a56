import type { TimerService } from "@skylarkpath/common/time/TimerService";

interface Bucket {
    tokens: number;
    filledMs: number;
}

/** Bounds of the messages that one process may send. */
export interface PeerRateOptions {
    readonly messagesPerSecond: number;
    readonly burstMessages: number;
    readonly maxSenders: number;
}

/** Default bounds of messages. */
export const DEFAULT_PEER_RATE_OPTIONS: PeerRateOptions = {
    messagesPerSecond: 20_000,
    burstMessages: 40_000,
    maxSenders: 4096
};

const MILLISECONDS_PER_SECOND = 1000;

/** Bounds the rate of messages of each other process. */
export class PeerRateLimit {
    private readonly buckets = new Map<string, Bucket>();

    constructor(private readonly timer: TimerService, private readonly options: PeerRateOptions) {}

    /** Takes a message of a process; false when it sends too many. */
    public take(processId: string): boolean {
        const bucket = this.bucketOf(processId);
        const nowMs = this.timer.nowMs();
        const gained = (nowMs - bucket.filledMs) * this.options.messagesPerSecond / MILLISECONDS_PER_SECOND;
        bucket.tokens = Math.min(this.options.burstMessages, bucket.tokens + gained);
        bucket.filledMs = nowMs;
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
            bucket = { tokens: this.options.burstMessages, filledMs: this.timer.nowMs() };
            this.buckets.set(processId, bucket);
        }
        return bucket;
    }
}
