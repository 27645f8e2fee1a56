import test from "ava";
import { LoopDelayMeter } from "./LoopDelayMeter.js";
import type { TimerService } from "./TimerService.js";
import { VirtualTimer } from "./VirtualTimer.js";

/** Timer whose calls come as late as the list says, in turn. */
function createDelayedTimer(base: VirtualTimer, extraDelaysMs: number[]): TimerService {
    return {
        nowMs: () => base.nowMs(),
        wallClockMs: () => base.wallClockMs(),
        after: (delayMs, callback) => base.after(delayMs + (extraDelaysMs.shift() ?? 0), callback),
        every: (intervalMs, callback) => base.every(intervalMs, callback)
    };
}

test("a process in time has no delay, one that is always late has its lateness", async t => {
    const base = new VirtualTimer();
    const meter = new LoopDelayMeter(createDelayedTimer(base, Array<number>(30).fill(150)));
    meter.start();
    t.is(meter.meanMs, 0);
    await base.advance(20 * 250);
    t.true(Math.abs(meter.meanMs - 150) < 1);
    await base.advance(20 * 250);
    t.true(meter.meanMs < 1);
    meter.dispose();
});

test("one long pause alone does not make a process slow", async t => {
    const base = new VirtualTimer();
    const meter = new LoopDelayMeter(createDelayedTimer(base, [0, 4000]));
    let highestMs = 0;
    meter.onSample(() => highestMs = Math.max(highestMs, meter.meanMs));
    meter.start();
    await base.advance(6000);
    t.is(highestMs, 75);
    meter.dispose();
});
