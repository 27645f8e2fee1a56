import { type Disposable, toDisposable } from "@skylarkpath/common/base/Disposable";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { performance } from "node:perf_hooks";

/** Timer service on the clocks of this machine. */
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
        const handle = setInterval(callback, intervalMs);
        return toDisposable(() => clearInterval(handle));
    }
}
