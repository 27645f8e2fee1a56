import test from "ava";
import { PlacementPlanner } from "../placement/PlacementPlanner.js";
import { addJob, addWorker, createFleet } from "../testing/FleetFixture.js";

// The job is due 3 s after it was accepted and takes 1 s, so that at 1.8 s a slow worker makes it late.
test("a tight job gets fast workers, and one with slack leaves them free", t => {
    const placeStep = (taskCount: number, nowMs: number): string[] => {
        const fleet = createFleet();
        const factors = new Map([["slow", 1.35], ["usual", 1], ["fast", 0.8]]);
        [...factors.keys()].forEach(id => addWorker(fleet, id));
        fleet.runTimeFactorOf = ({ id }) => factors.get(id)!;
        addJob(fleet, [{ taskCount }]);
        const [start] = new PlacementPlanner(fleet).plan(nowMs, () => true).starts;
        return start!.placements.map(({ worker }) => worker.id);
    };
    t.deepEqual(placeStep(5, 1800), [...Array(4).fill("fast"), "usual"]);
    t.false(placeStep(8, 10).includes("fast"));
});
