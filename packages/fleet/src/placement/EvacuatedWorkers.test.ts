import test from "ava";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet } from "../testing/FleetFixture.js";
import { PlacementPlanner } from "./PlacementPlanner.js";
import { orderSteps } from "./StepOrder.js";
import { WaitReason } from "./WaitReason.js";

test("the reservation of a gang moves when its workers are evacuated, and what runs there runs on", t => {
    const domains = new Set<string>();
    const fleet = createFleet(domains);
    const planner = new PlacementPlanner(fleet);
    const plan = (): string[] =>
        planner.plan(10, () => true).starts.flatMap(({ placements }) =>
            placements.map(({ task, worker }) => `${task.step.job.spec.id.slice(-2)} ${worker.id}`)
        );
    const [north, south] = [addWorker(fleet, "w1"), addWorker(fleet, "w2", { failureDomain: "south" })];
    const running = addJob(fleet, [{ taskCount: 6 }]);
    running.occurrences.get(0)![0]!.tasks.forEach((task, index) =>
        fleet.openRun(task, index < 2 ? north : south, 1, RunPhase.Running, 0)
    );
    addJob(fleet, [{ taskCount: 3, gang: true }], "00000000000000b1");
    plan();
    addJob(fleet, [{}], "00000000000000c1");
    t.deepEqual(plan(), [], "the worker with room is reserved for the gang");
    domains.add("north");
    plan();
    t.is(north.runs.size, 2);
    t.true(orderSteps(fleet, 10).every(ranked => planner.explain(ranked, 10) === WaitReason.NoCapacity));
    [...south.runs.values()].forEach(run => fleet.closeRun(run));
    t.deepEqual(plan(), ["b1 w2", "b1 w2", "b1 w2"], "the other worker is reserved now");
    domains.add("south");
    t.deepEqual(plan(), []);
    t.true(orderSteps(fleet, 10).every(ranked => planner.explain(ranked, 10) === WaitReason.Evacuated));
    domains.clear();
    t.deepEqual(plan().length, 4);
});

test("steps without time to spare start on warm workers while one fits; the rack of the data outweighs it for others", t => {
    const fleet = createFleet();
    addWorker(fleet, "cold", { warmAtMs: 5000 });
    addWorker(fleet, "warm", { rack: "r2", capacity: { cpuMilli: 1000, memoryMb: 8000, accelerators: 0 } });
    addJob(fleet, [{ taskCount: 2, nearRack: "r1" }], "00000000000000b1");
    const placed = (nowMs: number): string[] =>
        new PlacementPlanner(fleet).plan(nowMs, () => true).starts
            .flatMap(({ placements }) => placements.map(({ worker }) => worker.id));
    t.deepEqual(placed(10), ["warm", "cold"]);
    t.deepEqual(placed(4500), ["warm", "cold"], "the job is due before a cold worker could have done it");
    t.deepEqual(placed(5000), ["cold", "cold"]);
    const queue = fleet.config!.queues[0]!;
    fleet.config = { ...fleet.config!, queues: [{ ...queue, targetLatencyMs: 60_000 }] };
    t.deepEqual(placed(10), ["cold", "cold"], "there is time to spare");
});
