import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

const MILLISECONDS_PER_SECOND = 1000;

/** Token bucket: limits the long-run rate and lets short bursts pass without delay. */
export class RateLimiter {
    private tokens: number;
    private refilledAtMs: number;

    constructor(
        private readonly timer: TimerService,
        private readonly ratePerSecond: number,
        private readonly burst: number
    ) {
        this.tokens = burst;
        this.refilledAtMs = timer.nowMs();
    }

    /** Resolves once a token is available and takes it; only one caller may wait at a time. */
    public async acquire(): Promise<void> {
        this.refill();
        if (this.tokens < 1) {
            await sleep(this.timer, (1 - this.tokens) * MILLISECONDS_PER_SECOND / this.ratePerSecond);
            this.refill();
        }
        this.tokens--;
    }

    private refill(): void {
        const nowMs = this.timer.nowMs();
        const addedTokens = (nowMs - this.refilledAtMs) * this.ratePerSecond / MILLISECONDS_PER_SECOND;
        this.tokens = Math.min(this.burst, this.tokens + addedTokens);
        this.refilledAtMs = nowMs;
    }
}
