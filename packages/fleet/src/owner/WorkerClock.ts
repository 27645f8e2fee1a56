import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Margin for the time between a worker's reply and its arrival, and for timers that fire late. */
const LEASE_MARGIN_MS = 250;
/** Longest lease over which clocks drift apart. */
const MAX_LEASE_MS = 20_000;

/** What is known of a worker's own steady clock, and of the leases that it may hold. */
export class WorkerClock {
    private clockMs = 0;
    private updatedAtMs: number | undefined;
    private leaseUntilMs = 0;

    constructor(private readonly timer: TimerService) {}

    /** The worker has told its clock. */
    public get known(): boolean {
        return this.updatedAtMs !== undefined;
    }

    /** Notes the worker's clock as of a reply; one that was overtaken makes the estimate low, which is safe. */
    public update(clockMs: number): void {
        this.clockMs = clockMs;
        this.updatedAtMs = this.timer.nowMs();
    }

    /** Time on the worker's clock at which a lease of this length ends; nothing while its clock is unknown. */
    public leaseEnd(durationMs: number): number | undefined {
        if (this.updatedAtMs === undefined) {
            return undefined;
        }
        const nowMs = this.timer.nowMs();
        this.leaseUntilMs = Math.max(this.leaseUntilMs, nowMs + durationMs);
        return Math.floor(this.clockMs + nowMs - this.updatedAtMs + durationMs);
    }

    /** Something may run there for this long without our doing. */
    public assumeLease(durationMs: number): void {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, this.timer.nowMs() + durationMs);
    }

    /** Every lease has ended, even when the worker's clock is slow by this factor. */
    public leasesEnded(rateMargin: number): boolean {
        return this.leaseUntilMs - this.timer.nowMs() + MAX_LEASE_MS * (rateMargin - 1) + LEASE_MARGIN_MS < 0;
    }
}
