import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

const MILLISECONDS_PER_SECOND = 1000;

/** Limits a rate in the long run and lets short bursts pass without a wait. */
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

    /** Resolves when the next one may pass; only one caller may wait at a time. */
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
