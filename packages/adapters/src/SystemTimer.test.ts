import test from "ava";
import { SystemTimer } from "./SystemTimer.js";

test("disposal cancels pending calls, so that they do not keep the process alive", async t => {
    const timer = new SystemTimer();
    let calls = 0;
    timer.after(3_600_000, () => calls++);
    timer.after(0, () => calls++);
    timer.dispose();
    await new Promise<void>(resolve => new SystemTimer().after(20, resolve));
    t.is(calls, 0);
});
