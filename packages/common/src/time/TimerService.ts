import type { Disposable } from "../base/Disposable.js";

/** Clocks and timers of a process. */
export interface TimerService {
    /** Monotonic time of this process, in milliseconds. */
    nowMs(): number;
    /** Wall-clock time in milliseconds since 1970; used only for display and for deadlines that come from outside. */
    wallClockMs(): number;
    /** Runs the callback once after the delay, unless disposed before. */
    after(delayMs: number, callback: () => void): Disposable;
    /** Runs the callback at each interval until disposed. */
    every(intervalMs: number, callback: () => void): Disposable;
}

/** Resolves after the delay. */
export function sleep(timer: TimerService, delayMs: number): Promise<void> {
    return new Promise(resolve => timer.after(delayMs, resolve));
}
