import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ProcessGate } from "./ProcessGate.js";

/** Timer of one process. Its monotonic clock can run fast or slow; its callbacks wait while the process is paused. */
export class ProcessTimer implements TimerService {
    constructor(
        private readonly timer: TimerService,
        private readonly gate: ProcessGate,
        /** Milliseconds that this clock advances in one millisecond of the underlying timer. */
        private readonly clockRate: number
    ) {}

    public nowMs(): number {
        return this.timer.nowMs() * this.clockRate;
    }

    public wallClockMs(): number {
        return this.timer.wallClockMs();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        let waiting: Disposable | undefined;
        const timeout = this.timer.after(Math.ceil(delayMs / this.clockRate), () => {
            waiting = this.gate.run(callback);
        });
        return toDisposable(() => {
            timeout.dispose();
            waiting?.dispose();
        });
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        let current: Disposable;
        const run = (): void => {
            current = this.after(intervalMs, run);
            callback();
        };
        current = this.after(intervalMs, run);
        return toDisposable(() => current.dispose());
    }
}
