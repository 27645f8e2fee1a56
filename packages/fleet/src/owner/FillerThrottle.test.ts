import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { RunPhase, type RunState } from "../state/RunState.js";
import { addJob, addWorker, createFleet } from "../testing/FleetFixture.js";
import { FillerThrottle } from "./FillerThrottle.js";

function setUp(): {
    throttle: FillerThrottle;
    timer: VirtualTimer;
    serving: RunState;
    filler: RunState;
    speedLimits: () => number[];
} {
    const fleet = createFleet();
    const timer = new VirtualTimer();
    const worker = addWorker(fleet, "w1");
    const start = (id: string, change: object): RunState => {
        const task = addJob(fleet, [change], id).findTask(0, 0, 0)!;
        return fleet.openRun(task, worker, 1, RunPhase.Starting, 0);
    };
    const serving = start("00000000000000a1", { lasting: true, targetMs: 100 });
    const filler = start("00000000000000a2", { filler: true });
    const throttle = new FillerThrottle(timer);
    return {
        throttle,
        timer,
        serving,
        filler,
        speedLimits: () => throttle.adjustSpeedLimits(worker).map(change => change.percent)
    };
}

test("fillers stop at once when a serving task exceeds its latency target, and speed up again in steps", async t => {
    const { throttle, timer, serving, filler, speedLimits } = setUp();
    t.true(throttle.needsFrequentPolls(serving.worker));
    serving.load = 120;
    t.deepEqual(speedLimits(), [0]);
    t.deepEqual(speedLimits(), [], "the limit is ordered once");
    serving.load = 30;
    t.deepEqual(speedLimits(), []);
    await timer.advance(2600);
    t.deepEqual(speedLimits(), [20]);
    t.deepEqual(speedLimits(), []);
    t.is(filler.speedLimitPercent, 20);
});

test("near the latency target fillers slow down by half, once the previous limit has taken effect", async t => {
    const { timer, serving, speedLimits } = setUp();
    serving.load = 90;
    t.deepEqual(speedLimits(), []);
    await timer.advance(600);
    t.deepEqual(speedLimits(), [50]);
    t.deepEqual(speedLimits(), []);
    await timer.advance(600);
    t.deepEqual(speedLimits(), [25]);
});

test("an unconfirmed speed limit is ordered again, and so is that of a run that a previous owner started", async t => {
    const { throttle, timer, serving, filler, speedLimits } = setUp();
    serving.load = 120;
    t.deepEqual(speedLimits(), [0]);
    throttle.markUnconfirmed(filler, 0);
    t.deepEqual(speedLimits(), [], "not repeated with each report");
    await timer.advance(120);
    t.deepEqual(speedLimits(), [0]);
    await timer.advance(120);
    t.deepEqual(speedLimits(), []);
    throttle.markUnconfirmed(filler, 50);
    await timer.advance(120);
    t.deepEqual(speedLimits(), [], "another limit has been ordered since");
    const fleet = createFleet();
    const later = addWorker(fleet, "w2");
    const task = addJob(fleet, [{ filler: true }]).findTask(0, 0, 0)!;
    t.false(fleet.openRun(task, later, 1, RunPhase.Running, 0).speedLimitKnown);
    t.deepEqual(throttle.adjustSpeedLimits(later).map(change => change.percent), [100]);
});
