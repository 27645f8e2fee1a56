import { Emitter } from "@skylarkpath/common/base/Emitter";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet } from "../testing/FleetFixture.js";
import { CapacityFreshness } from "./CapacityFreshness.js";
import { EvacuationTracker } from "./EvacuationTracker.js";

test("nothing is planned before the first read or on an old view, and operators see what still runs there", async t => {
    const domains = new Set(["north"]);
    const fleet = createFleet(domains);
    const timer = new VirtualTimer();
    const changed = new Emitter<void>();
    const view = { ageMs: Number.POSITIVE_INFINITY, onEvacuations: changed.event };
    const events: string[] = [];
    const log = {
        write: ({ name }: { readonly name: string; }, { runs }: { readonly runs?: number; } = {}) =>
            void events.push(`${name} ${runs}`)
    };
    const tracker = new EvacuationTracker(fleet, view, timer, log, 1, 3000);
    const unbounded = new EvacuationTracker(fleet, view, timer, log, 1, Number.POSITIVE_INFINITY);
    const freshness = new CapacityFreshness({ ageMs: 0 }, tracker, fleet, 4000);
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    t.false(freshness.mayStart(task.step));
    t.true(new CapacityFreshness({ ageMs: 0 }, unbounded, fleet, 4000).mayStart(task.step));
    view.ageMs = 2000;
    t.true(freshness.mayStart(task.step));
    t.true(freshness.timeLeftMs("pool") < 1000);
    view.ageMs = 2500;
    t.false(freshness.mayStart(task.step));
    const run = fleet.openRun(task, addWorker(fleet, "w1"), 1, RunPhase.Running, 0);
    tracker.start();
    await timer.advance(3000);
    fleet.closeRun(run);
    await timer.advance(3000);
    domains.delete("north");
    changed.fire();
    view.ageMs = 4000;
    await timer.advance(3000);
    t.deepEqual(events, [
        "evacuation-begun 1",
        "evacuation-emptied 0",
        "evacuation-ended 0",
        "starts-withheld undefined"
    ]);
    tracker.dispose();
});
