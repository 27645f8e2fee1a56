import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { performance } from "node:perf_hooks";

/** Timer service on the system clocks. A pending `after` keeps the process alive, a repeating `every` does not. */
export class SystemTimer implements TimerService, Disposable {
    private readonly pending = new Set<NodeJS.Timeout>();

    public nowMs(): number {
        return performance.now();
    }

    public wallClockMs(): number {
        return Date.now();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        const handle = setTimeout(() => {
            this.pending.delete(handle);
            callback();
        }, Math.max(0, delayMs));
        this.pending.add(handle);
        return toDisposable(() => {
            this.pending.delete(handle);
            clearTimeout(handle);
        });
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        const handle = setInterval(callback, intervalMs).unref();
        return toDisposable(() => clearInterval(handle));
    }

    /** Cancels all pending `after` calls, so that they do not keep the process alive. */
    public dispose(): void {
        for (const handle of this.pending) {
            clearTimeout(handle);
        }
        this.pending.clear();
    }
}
