import type { TimerService } from "./TimerService.js";

/** Timestamp that orders events across processes: wall-clock milliseconds and a counter. */
export interface HybridTime {
    readonly wallClockMs: number;
    readonly counter: number;
}

/** Compares two hybrid times; negative when the left one is earlier. */
export function compareHybridTime(left: HybridTime, right: HybridTime): number {
    return left.wallClockMs - right.wallClockMs || left.counter - right.counter;
}

/** Hybrid logical clock; every message between processes carries its time. */
export class HybridClock {
    private wallClockMs = 0;
    private counter = 0;

    constructor(private readonly timer: TimerService) {}

    /** Advances the clock for a local event or a message about to be sent, and returns the new time. */
    public tick(): HybridTime {
        const nowMs = this.timer.wallClockMs();
        if (nowMs > this.wallClockMs) {
            this.wallClockMs = nowMs;
            this.counter = 0;
        }
        else {
            this.counter++;
        }
        return { wallClockMs: this.wallClockMs, counter: this.counter };
    }

    /** Advances the clock to the time of a received message if that is later. */
    public observe(time: HybridTime): void {
        if (time.wallClockMs > this.wallClockMs) {
            this.wallClockMs = time.wallClockMs;
            this.counter = time.counter;
        }
        else if (time.wallClockMs === this.wallClockMs && time.counter > this.counter) {
            this.counter = time.counter;
        }
    }
}
