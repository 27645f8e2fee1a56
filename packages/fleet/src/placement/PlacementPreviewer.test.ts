import test from "ava";
import { type PlacementPreview, PreviewFailure } from "../ports/PlacementPreview.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet, PLAIN_STEP } from "../testing/FleetFixture.js";
import { PlacementPlanner } from "./PlacementPlanner.js";
import { PlacementPreviewer } from "./PlacementPreviewer.js";
import { WaitReason } from "./WaitReason.js";

const LARGE = { cpuMilli: 3000, memoryMb: 100, accelerators: 0 };

test("a preview agrees with what the planner starts, and changes nothing", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1");
    addWorker(fleet, "w2", { draining: true });
    addWorker(fleet, "w3", { labels: ["large", "r1"] });
    const earlier = addJob(fleet, [{ taskCount: 1, size: LARGE }], "00000000000000a1");
    const task = earlier.findTask(0, 0, 0)!;
    fleet.openRun(task, fleet.workers.get("w1")!, 1, RunPhase.Running, 0);
    const planner = new PlacementPlanner(fleet);
    const previewer = new PlacementPreviewer(fleet, (ranked, worker) => planner.isReserved(ranked, worker));
    const steps = [
        { ...PLAIN_STEP, taskCount: 2, size: LARGE },
        { ...PLAIN_STEP, after: [0], workerLabel: "large" }
    ];
    const preview = previewer.preview({ queue: "jobs", team: "lab", steps }, 10) as PlacementPreview;
    const [first, second] = preview.steps;
    t.is(first?.fitsNow, 1);
    t.is(first?.waitReason, WaitReason.Soon);
    t.is(second?.stepsAhead, undefined);
    t.deepEqual(first?.workers.map(({ verdict, examples }) => [verdict, ...examples]), [
        ["no-room", "w1"],
        ["takes-none", "w2"],
        ["has-room", "w3"]
    ]);
    t.is(preview.waitingSteps, 0);
    t.deepEqual([...fleet.jobs.keys()], ["00000000000000a1"]);
    t.deepEqual(planner.plan(10, () => true).starts, []);
    addJob(fleet, steps, "00000000000000a2");
    t.is(planner.plan(20, () => true).starts[0]?.placements.length, first?.fitsNow);
});

test("a gang without room for all waits, and unknown queues and teams are told", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1");
    const previewer = new PlacementPreviewer(fleet, () => false);
    const steps = [{ ...PLAIN_STEP, taskCount: 5, gang: true }];
    const preview = previewer.preview({ queue: "jobs", team: "lab", steps }, 10) as PlacementPreview;
    t.is(preview.steps[0]?.fitsNow, 0);
    t.is(preview.steps[0]?.waitReason, WaitReason.NoCapacity);
    t.is(previewer.preview({ queue: "other", team: "lab", steps }, 10), PreviewFailure.UnknownQueue);
    t.is(previewer.preview({ queue: "jobs", team: "", steps }, 10), PreviewFailure.UnknownTeam);
});
