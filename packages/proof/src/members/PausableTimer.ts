import type { Disposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";

/** Timer of one process: while paused its time goes on, but its calls wait. */
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

    /** Holds all calls from now on. */
    public pause(): void {
        this.paused = true;
    }

    /** Runs the calls that waited. */
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
