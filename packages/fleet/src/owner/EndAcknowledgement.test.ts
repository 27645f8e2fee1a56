import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet } from "../testing/FleetFixture.js";
import { EndAcknowledgement } from "./EndAcknowledgement.js";

// Guards against a restarted worker that drops ends which nobody has read, so that their tasks run again.
test("ends are acknowledged once, and not while a run may have ended on an incarnation that was not seen", async t => {
    const [fleet, timer] = [createFleet(), new VirtualTimer()];
    const worker = addWorker(fleet, "w1");
    const acknowledgement = new EndAcknowledgement(worker, timer);
    t.is(acknowledgement.next(0), 0);
    acknowledgement.confirm(0);
    t.is(acknowledgement.next(3), 3);
    t.is(acknowledgement.next(3), 3, "the reply was lost");
    acknowledgement.confirm(3);
    t.is(acknowledgement.next(3), 0);
    const run = fleet.openRun(addJob(fleet, [{}]).findTask(0, 0, 0)!, worker, 1, RunPhase.Running, timer.nowMs());
    t.is(acknowledgement.next(4), 4, "the worker has just reported");
    await timer.advance(500);
    t.is(acknowledgement.next(4), 0);
    run.reported = true;
    t.is(acknowledgement.next(4), 4);
    run.reported = false;
    acknowledgement.confirm(0);
    t.is(acknowledgement.next(4), 4);
});
