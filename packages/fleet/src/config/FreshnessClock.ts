import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** One moment on the monotonic clock and on the wall clock of this machine. */
export interface ClockReading {
    readonly nowMs: number;
    readonly wallClockMs: number;
}

/** A larger skew between the two clocks means that the wall clock was set or the machine was suspended. */
const MAX_CLOCK_SKEW_MS = 250;

/**
 * Tracks the age of data that was read from another process. The monotonic clock stops while a machine is suspended and
 * the wall clock may be set, so the data counts as stale when the two disagree, until it is read again.
 */
export class FreshnessClock {
    private confirmed: ClockReading | undefined;

    constructor(private readonly timer: TimerService) {}

    /** Age of the data in ms; infinite before the first answer and when the clocks disagree. */
    public get ageMs(): number {
        if (!this.confirmed) {
            return Number.POSITIVE_INFINITY;
        }
        const monotonicMs = this.timer.nowMs() - this.confirmed.nowMs;
        const wallMs = this.timer.wallClockMs() - this.confirmed.wallClockMs;
        return Math.abs(wallMs - monotonicMs) > MAX_CLOCK_SKEW_MS ? Number.POSITIVE_INFINITY : monotonicMs;
    }

    /** Reads both clocks; called before a request is sent. */
    public readClocks(): ClockReading {
        return { nowMs: this.timer.nowMs(), wallClockMs: this.timer.wallClockMs() };
    }

    /** Records that the request sent at this time was answered. */
    public confirm(sentAt: ClockReading): void {
        this.confirmed = sentAt;
    }
}
