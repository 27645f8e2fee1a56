import type { Disposable } from "../base/Disposable.js";

/** Source of time that parts subscribe to. */
export interface TimerService {
    /** Monotonic time of this process, in milliseconds. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since 1970; used for display and deadlines from outside only. */
    wallClockMs(): number;
    /** Calls back once after the delay unless disposed before. */
    after(delayMs: number, callback: () => void): Disposable;
    /** Calls back at each interval until disposed. */
    every(intervalMs: number, callback: () => void): Disposable;
}

/** Resolves after the delay. */
export function sleep(timer: TimerService, delayMs: number): Promise<void> {
    return new Promise(resolve => timer.after(delayMs, resolve));
}
