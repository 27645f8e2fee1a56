import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Timer of one process; while it is paused, its clocks continue but its callbacks are delayed. */
export class PausableTimer implements TimerService {
    private waiting: (() => void)[] = [];
    private paused = false;

    constructor(private readonly inner: TimerService) {}

    public nowMs(): number {
        return this.inner.nowMs();
    }

    public wallClockMs(): number {
        return this.inner.wallClockMs();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        return this.inner.after(delayMs, () => this.run(callback));
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        return this.inner.every(intervalMs, () => this.run(callback));
    }

    /** Delays all callbacks until the timer is resumed. */
    public pause(): void {
        this.paused = true;
    }

    /** Ends the pause and runs the delayed callbacks in order. */
    public resume(): void {
        this.paused = false;
        const calls = this.waiting;
        this.waiting = [];
        calls.forEach(call => call());
    }

    /** Resolves once the process is not paused. */
    public async whenRunning(): Promise<void> {
        if (this.paused) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
    }

    private run(call: () => void): void {
        if (this.paused) {
            this.waiting.push(call);
        }
        else {
            call();
        }
    }
}
