import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Timer of one process whose callbacks run late, as on a slow machine. */
export class LaggingTimer implements TimerService {
    /** Added to each delay and interval. */
    public lagMs = 0;

    constructor(private readonly timer: TimerService) {}

    public nowMs(): number {
        return this.timer.nowMs();
    }

    public wallClockMs(): number {
        return this.timer.wallClockMs();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        return this.timer.after(delayMs + this.lagMs, callback);
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        return this.timer.every(intervalMs + this.lagMs, callback);
    }
}
