import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Moment on both clocks of this machine. */
export interface ClockMark {
    readonly nowMs: number;
    readonly wallClockMs: number;
}

/** The clocks differ by more than this only when one was set, or the machine was suspended. */
const CLOCK_TOLERANCE_MS = 250;

/**
 * Age of knowledge that was read elsewhere. The steady clock does not count while a machine is suspended, and the wall
 * clock may be set; when the two disagree, the knowledge counts as stale until it is read again.
 */
export class FreshnessClock {
    private confirmed: ClockMark | undefined;

    constructor(private readonly timer: TimerService) {}

    /** Age of the knowledge; infinite when it is not known. */
    public get ageMs(): number {
        if (!this.confirmed) {
            return Number.POSITIVE_INFINITY;
        }
        const steadyMs = this.timer.nowMs() - this.confirmed.nowMs;
        const wallMs = this.timer.wallClockMs() - this.confirmed.wallClockMs;
        return Math.abs(wallMs - steadyMs) > CLOCK_TOLERANCE_MS ? Number.POSITIVE_INFINITY : steadyMs;
    }

    /** Moment before a question is sent. */
    public mark(): ClockMark {
        return { nowMs: this.timer.nowMs(), wallClockMs: this.timer.wallClockMs() };
    }

    /** The question that was sent at the mark is answered. */
    public confirm(mark: ClockMark): void {
        this.confirmed = mark;
    }
}
