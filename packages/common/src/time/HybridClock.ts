import type { TimerService } from "./TimerService.js";

/** Time stamp that orders events over processes: wall-clock milliseconds and a counter. */
export interface HybridTime {
    readonly wallClockMs: number;
    readonly counter: number;
}

/** Compares two hybrid times; negative when the left one is earlier. */
export function compareHybridTime(left: HybridTime, right: HybridTime): number {
    return left.wallClockMs - right.wallClockMs || left.counter - right.counter;
}

/** Hybrid logical clock; carried in every message between processes. */
export class HybridClock {
    private wallClockMs = 0;
    private counter = 0;

    constructor(private readonly timer: TimerService) {}

    /** Returns the time of a local event or of a message about to be sent. */
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

    /** Takes in the time of a received message. */
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
