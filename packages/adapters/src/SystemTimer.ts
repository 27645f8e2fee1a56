import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { performance } from "node:perf_hooks";

/** Timer service on the clocks of this machine; repeating calls alone do not keep a process alive. */
export class SystemTimer implements TimerService {
    public nowMs(): number {
        return performance.now();
    }

    public wallClockMs(): number {
        return Date.now();
    }

    public after(delayMs: number, callback: () => void): Disposable {
        const handle = setTimeout(callback, Math.max(0, delayMs));
        return toDisposable(() => clearTimeout(handle));
    }

    public every(intervalMs: number, callback: () => void): Disposable {
        const handle = setInterval(callback, intervalMs).unref();
        return toDisposable(() => clearInterval(handle));
    }
}
