import test from "ava";
import type { FleetState } from "../state/FleetState.js";
import { RunPhase } from "../state/RunState.js";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { type PlacementPlan, PlacementPlanner } from "./PlacementPlanner.js";
import { orderSteps } from "./StepOrder.js";
import { WaitReason } from "./WaitReason.js";

const URGENT_ID = "00000000000000b1";

function plan(fleet: FleetState, planner = new PlacementPlanner(fleet), nowMs = 10): PlacementPlan {
    return planner.plan(nowMs, () => true);
}

function startAll(fleet: FleetState, decided: PlacementPlan): string[] {
    return decided.starts.flatMap(({ placements }) =>
        placements.map(({ task, worker }) => {
            fleet.openRun(task, worker, task.lastRun + 1, RunPhase.Running, 0);
            return `${task.name}@${worker.id}`;
        })
    );
}

test("one plan never places more on a worker than fits", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1");
    addJob(fleet, [{ taskCount: 3 }]);
    addJob(fleet, [{ taskCount: 3 }], URGENT_ID);
    t.is(startAll(fleet, plan(fleet)).length, 4);
    t.is(startAll(fleet, plan(fleet)).length, 0);
});

// Guards against questions about steps whose job waits for a commit, a takeover or a fresh list of workers.
test("a step that may not start yet needs no permits, and those behind it do", t => {
    const fleet = createFleet();
    const policy = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy }] };
    addWorker(fleet, "w1");
    const held = addJob(fleet, [{ taskCount: 8 }]);
    const other = addJob(fleet, [{}], URGENT_ID);
    const { stepsNeedingPermits } = new PlacementPlanner(fleet).plan(10, step => step.job !== held);
    t.deepEqual(stepsNeedingPermits.map(({ job }) => job), [other]);
});

test("a gang starts as a whole or not at all", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1");
    addJob(fleet, [{ taskCount: 5, gang: true }]);
    t.is(plan(fleet).starts.length, 0);
    addWorker(fleet, "w2");
    t.is(startAll(fleet, plan(fleet)).length, 5);
});

test("a worker reserved for a gang takes no step of the same priority, and a more urgent one only as a last resort", t => {
    const fleet = createFleet();
    const urgentQueue = { ...PLAIN_CONFIG.queues[0]!, name: "urgent", priority: 0 };
    fleet.config = { ...PLAIN_CONFIG, queues: [...PLAIN_CONFIG.queues, urgentQueue] };
    const planner = new PlacementPlanner(fleet);
    const busy = addWorker(fleet, "w1");
    const running = addJob(fleet, [{}], "00000000000000c1");
    fleet.openRun(running.findTask(0, 0, 0)!, busy, 1, RunPhase.Running, 0);
    addJob(fleet, [{ taskCount: 4, gang: true }], "00000000000000d1");
    t.is(plan(fleet, planner).starts.length, 0);
    addJob(fleet, [{ taskCount: 2 }], "00000000000000e1");
    t.is(plan(fleet, planner).starts.length, 0, "the only worker is reserved");
    addWorker(fleet, "w2", { capacity: { cpuMilli: 1000, memoryMb: 8000, accelerators: 0 } });
    const urgent = addJob(fleet, [{ taskCount: 2 }], URGENT_ID);
    Object.assign(urgent.spec, { queue: "urgent" });
    const started = startAll(fleet, plan(fleet, planner)).filter(start => start.startsWith(URGENT_ID));
    t.deepEqual(started, [`${URGENT_ID}.0.0.0@w2`, `${URGENT_ID}.0.0.1@w1`]);
});

test("a step respects its limit of tasks per worker, its label and its team's limit", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1", { labels: ["fast", "r1"] });
    addWorker(fleet, "w2", { labels: ["slow", "r2"], rack: "r2" });
    addJob(fleet, [{ taskCount: 3, maximumPerWorker: 1, workerLabel: "fast" }]);
    t.deepEqual(startAll(fleet, plan(fleet)), ["00000000000000a1.0.0.0@w1"]);
    const limited = createFleet();
    const team = { ...PLAIN_CONFIG.teams[0]!, limit: { cpuMilli: 2500, memoryMb: 0, accelerators: 0 } };
    limited.config = { ...PLAIN_CONFIG, teams: [team] };
    addWorker(limited, "w1");
    addJob(limited, [{ taskCount: 4 }]);
    t.is(startAll(limited, plan(limited)).length, 2);
});

test("steps wait for the steps that they depend on, and a retry goes to another worker", t => {
    const fleet = createFleet();
    addWorker(fleet, "w1");
    addWorker(fleet, "w2");
    const job = addJob(fleet, [{}, { after: [0] }]);
    const task = job.findTask(0, 0, 0)!;
    task.avoidedWorkers.add("w1");
    t.deepEqual(startAll(fleet, plan(fleet)), [`${task.name}@w2`]);
    task.step.markDone(task);
    fleet.closeRun(task.run!);
    t.is(startAll(fleet, plan(fleet)).length, 1);
});

test("reservations of gangs with a limit of tasks per worker do not block each other", t => {
    const fleet = createFleet();
    for (const id of ["w1", "w2", "w3", "w4"]) {
        addWorker(fleet, id);
    }
    const blocking = addJob(fleet, [{
        taskCount: 4,
        maximumPerWorker: 1,
        size: { cpuMilli: 4000, memoryMb: 1, accelerators: 0 }
    }]);
    const planner = new PlacementPlanner(fleet);
    startAll(fleet, plan(fleet, planner));
    const gang = { taskCount: 3, gang: true, maximumPerWorker: 1 };
    addJob(fleet, [gang], "00000000000000c1");
    addJob(fleet, [gang], "00000000000000c2");
    t.is(plan(fleet, planner).starts.length, 0);
    for (const step of blocking.openSteps()) {
        for (const task of step.tasks) {
            fleet.closeRun(task.run!);
            step.markDone(task);
        }
    }
    t.is(startAll(fleet, plan(fleet, planner)).length, 3);
});

test("nothing is reserved for a gang that its team's limit prevents from starting", t => {
    const fleet = createFleet();
    const lab = { ...PLAIN_CONFIG.teams[0]!, limit: { cpuMilli: 2000, memoryMb: 0, accelerators: 0 } };
    const other = { ...PLAIN_CONFIG.teams[0]!, name: "other" };
    fleet.config = { ...PLAIN_CONFIG, teams: [lab, other] };
    const planner = new PlacementPlanner(fleet);
    const worker = addWorker(fleet, "w1");
    const running = addJob(fleet, [{}], "00000000000000c1");
    fleet.openRun(running.findTask(0, 0, 0)!, worker, 1, RunPhase.Running, 0);
    addJob(fleet, [{ taskCount: 2, gang: true }], "00000000000000d1");
    t.is(plan(fleet, planner).starts.length, 0);
    t.is(planner.explain(orderSteps(fleet, 10)[0]!, 10), WaitReason.TeamLimit);
    const job = addJob(fleet, [{}], "00000000000000e1");
    Object.assign(job.spec, { team: "other" });
    t.deepEqual(startAll(fleet, plan(fleet, planner)), ["00000000000000e1.0.0.0@w1"]);
});

test("a reservation ends when the limit of the gang's team is lowered", t => {
    const fleet = createFleet();
    fleet.config = { ...PLAIN_CONFIG, teams: [...PLAIN_CONFIG.teams, { ...PLAIN_CONFIG.teams[0]!, name: "other" }] };
    const planner = new PlacementPlanner(fleet);
    const worker = addWorker(fleet, "w1");
    const running = addJob(fleet, [{}], "00000000000000c1");
    fleet.openRun(running.findTask(0, 0, 0)!, worker, 1, RunPhase.Running, 0);
    addJob(fleet, [{ taskCount: 4, gang: true }], "00000000000000d1");
    t.is(plan(fleet, planner).starts.length, 0);
    const job = addJob(fleet, [{}], "00000000000000e1");
    Object.assign(job.spec, { team: "other" });
    t.is(plan(fleet, planner).starts.length, 0);
    const waiting = orderSteps(fleet, 10).find(({ step }) => step.job === job)!;
    t.is(planner.explain(waiting, 10), WaitReason.Reserved);
    const lab = { ...PLAIN_CONFIG.teams[0]!, limit: { cpuMilli: 3000, memoryMb: 0, accelerators: 0 } };
    fleet.config = { ...fleet.config, teams: [lab, fleet.config.teams[1]!] };
    t.is(plan(fleet, planner).starts.length, 1);
});

test("nothing is reserved for a gang that does not fit beside lasting tasks", t => {
    const fleet = createFleet();
    const planner = new PlacementPlanner(fleet);
    const worker = addWorker(fleet, "w1");
    const lasting = addJob(fleet, [{ lasting: true }], "00000000000000c1");
    fleet.openRun(lasting.findTask(0, 0, 0)!, worker, 1, RunPhase.Running, 0);
    addJob(fleet, [{ taskCount: 4, gang: true }], "00000000000000d1");
    t.is(plan(fleet, planner).starts.length, 0);
    addJob(fleet, [{ taskCount: 2 }], "00000000000000e1");
    t.is(startAll(fleet, plan(fleet, planner)).length, 2);
});

test("a task under which a worker crashed starts apart from other tasks, and these keep away from it", t => {
    const fleet = createFleet();
    const [busy, idle] = [addWorker(fleet, "w1"), addWorker(fleet, "w2")];
    fleet.openRun(addJob(fleet, [{}], "00000000000000a2").findTask(0, 0, 0)!, busy, 1, RunPhase.Running, 0);
    const suspect = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    suspect.crashedRuns = [1];
    const planner = new PlacementPlanner(fleet);
    const workerOf = (task: TaskState): WorkerState | undefined =>
        planner.plan(0, () => true).starts.flatMap(start => start.placements).find(each => each.task === task)?.worker;
    t.is(workerOf(suspect), idle);
    fleet.openRun(suspect, idle, 2, RunPhase.Running, 0);
    const gang = addJob(fleet, [{ gang: true, taskCount: 3 }], "00000000000000a3").findTask(0, 0, 0)!;
    t.is(workerOf(gang), busy);
});
