import test from "ava";
import { MachineSpeedMeter } from "./MachineSpeedMeter.js";
import { VirtualTimer } from "./VirtualTimer.js";

test("a machine that has become slow is told from one that is interrupted now and then", async t => {
    const timer = new VirtualTimer();
    const durationsMs = [1, 1.1, 6, 1, 9, 1.2, 1, 1];
    let index = 0;
    let factor = 1;
    const meter = new MachineSpeedMeter(timer, () => durationsMs[index++ % durationsMs.length]! * factor);
    meter.start();
    t.is(meter.slowdown, 1);
    for (let step = 0; step < 40; step++) {
        await timer.advance(250);
        t.true(meter.slowdown < 1.5, `${meter.slowdown}`);
    }
    factor = 5;
    await timer.advance(1000);
    t.true(meter.slowdown > 4);
    meter.dispose();
});
