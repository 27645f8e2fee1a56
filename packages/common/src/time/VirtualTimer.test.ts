import test from "ava";
import { VirtualTimer } from "./VirtualTimer.js";

test("runs calls in time order and lets promises settle between them", async t => {
    const timer = new VirtualTimer();
    const executed: string[] = [];
    timer.after(20, () => executed.push("second"));
    timer.after(10, () => {
        executed.push("first");
        void Promise.resolve().then(() => executed.push("settled"));
    });
    const cancelled = timer.after(15, () => executed.push("cancelled"));
    cancelled.dispose();
    await timer.advance(20);
    t.deepEqual(executed, ["first", "settled", "second"]);
    t.is(timer.nowMs(), 20);
});

test("every repeats until disposed", async t => {
    const timer = new VirtualTimer();
    let count = 0;
    const repeating = timer.every(10, () => count++);
    await timer.advance(35);
    repeating.dispose();
    await timer.advance(100);
    t.is(count, 3);
});
