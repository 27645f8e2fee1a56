import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ModelledProcessor } from "./ModelledProcessor.js";

/** Timer of one process whose callbacks run late, as on a slow machine or behind a backlog of messages. */
export class LaggingTimer implements TimerService {
    /** Added to each delay and interval. */
    public lagMs = 0;

    constructor(private readonly timer: TimerService, private readonly processor: ModelledProcessor) {}

    public nowMs(): number {
        return this.timer.nowMs();
    }

    public wallClockMs(): number {
        return this.timer.wallClockMs();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        let pending = this.timer.after(delayMs + this.lagMs, () => {
            const { backlogMs } = this.processor;
            if (backlogMs > 0) {
                pending = this.timer.after(backlogMs, callback);
            }
            else {
                callback();
            }
        });
        return toDisposable(() => pending.dispose());
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        return this.timer.every(intervalMs + this.lagMs, callback);
    }
}
