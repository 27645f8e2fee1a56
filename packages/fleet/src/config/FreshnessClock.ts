import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Moment on both clocks of this machine. */
export interface ClockReading {
    readonly nowMs: number;
    readonly wallClockMs: number;
}

/** The clocks differ by more than this only when one was set, or the machine was suspended. */
const MAX_CLOCK_SKEW_MS = 250;

/**
 * Age of knowledge that was read elsewhere. The steady clock does not count while a machine is suspended, and the wall
 * clock may be set; when the two disagree, the knowledge counts as stale until it is read again.
 */
export class FreshnessClock {
    private confirmed: ClockReading | undefined;

    constructor(private readonly timer: TimerService) {}

    /** Age of the knowledge; infinite when it is not known. */
    public get ageMs(): number {
        if (!this.confirmed) {
            return Number.POSITIVE_INFINITY;
        }
        const monotonicMs = this.timer.nowMs() - this.confirmed.nowMs;
        const wallMs = this.timer.wallClockMs() - this.confirmed.wallClockMs;
        return Math.abs(wallMs - monotonicMs) > MAX_CLOCK_SKEW_MS ? Number.POSITIVE_INFINITY : monotonicMs;
    }

    /** Moment before a question is sent. */
    public readClocks(): ClockReading {
        return { nowMs: this.timer.nowMs(), wallClockMs: this.timer.wallClockMs() };
    }

    /** The question that was sent at the mark is answered. */
    public confirm(sentAt: ClockReading): void {
        this.confirmed = sentAt;
    }
}
