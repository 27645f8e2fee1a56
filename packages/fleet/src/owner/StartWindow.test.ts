import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { StartWindow } from "./StartWindow.js";

test("the window shrinks while the event loop is late, and opens again when it no longer is", async t => {
    const timer = new VirtualTimer();
    let loopDelayMs = 0;
    const window = new StartWindow(timer, () => loopDelayMs);
    for (let order = 0; order < 100; order++) {
        window.begin();
    }
    window.adjust();
    t.true(window.open);
    loopDelayMs = 400;
    for (let sample = 0; sample < 10; sample++) {
        await timer.advance(100);
        window.adjust();
    }
    t.false(window.open);
    for (let order = 0; order < 100; order++) {
        window.end();
    }
    t.true(window.open, "some orders are always allowed");
    loopDelayMs = 0;
    for (let sample = 0; sample < 20; sample++) {
        await timer.advance(100);
        window.adjust();
    }
    for (let order = 0; order < 100; order++) {
        t.true(window.open);
        window.begin();
    }
});
