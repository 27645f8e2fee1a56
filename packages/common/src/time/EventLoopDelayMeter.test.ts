import test from "ava";
import { EventLoopDelayMeter } from "./EventLoopDelayMeter.js";
import type { TimerService } from "./TimerService.js";
import { VirtualTimer } from "./VirtualTimer.js";

/** Timer that delays each `after` call by the next value of the list, and by nothing once the list is empty. */
function createDelayedTimer(base: VirtualTimer, extraDelaysMs: number[]): TimerService {
    return {
        nowMs: () => base.nowMs(),
        wallClockMs: () => base.wallClockMs(),
        after: (delayMs, callback) => base.after(delayMs + (extraDelaysMs.shift() ?? 0), callback),
        every: (intervalMs, callback) => base.every(intervalMs, callback)
    };
}

test("the mean follows a constant delay and returns to zero when the delay ends", async t => {
    const base = new VirtualTimer();
    const meter = new EventLoopDelayMeter(createDelayedTimer(base, Array<number>(30).fill(150)));
    meter.start();
    t.is(meter.meanMs, 0);
    await base.advance(20 * 250);
    t.true(Math.abs(meter.meanMs - 150) < 1);
    await base.advance(20 * 250);
    t.true(meter.meanMs < 1);
    meter.dispose();
});

test("a single long pause counts only up to the limit of one sample", async t => {
    const base = new VirtualTimer();
    const meter = new EventLoopDelayMeter(createDelayedTimer(base, [0, 4000]));
    let highestMs = 0;
    meter.onSample(() => highestMs = Math.max(highestMs, meter.meanMs));
    meter.start();
    await base.advance(6000);
    t.is(highestMs, 75);
    meter.dispose();
});
