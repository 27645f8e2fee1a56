import test from "ava";
import type { StepSpec } from "../model/JobSpec.js";
import type { FleetState } from "../state/FleetState.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { CapacityBudget } from "./CapacityBudget.js";

const TEAM_LIMIT = { cpuMilli: 4000, memoryMb: 0, accelerators: 0 };

/** Lets the steps of new jobs draw in turn; returns which of them drew something. */
function drawAll(fleet: FleetState, steps: readonly Partial<StepSpec>[]): readonly boolean[] {
    const queue = fleet.queue("jobs")!;
    const budget = new CapacityBudget(fleet, 0, () => false);
    return steps.map((spec, index) => {
        const [step] = addJob(fleet, [spec], index.toString(16).padStart(16, "c")).readySteps();
        return budget.draw({ step: step!, queue });
    });
}

// Guards against a team at its limit whose every waiting step is asked about, or none before others have ended.
test("a team at its limit draws half of what it uses, which may end before permits expire", t => {
    const fleet = createFleet();
    fleet.config = { ...PLAIN_CONFIG, teams: [{ ...PLAIN_CONFIG.teams[0]!, limit: TEAM_LIMIT }] };
    const worker = addWorker(fleet, "w1");
    addWorker(fleet, "w2");
    const running = addJob(fleet, [{ taskCount: 4 }], "00000000000000b1");
    for (const step of running.readySteps()) {
        step.tasks.forEach(task => fleet.openRun(task, worker, 1, RunPhase.Running, 0));
    }
    t.deepEqual(drawAll(fleet, [{}, {}, {}, { gang: true, taskCount: 4 }]), [true, true, false, false]);
});

// Guards against a gang that can't start and takes what is free from the steps behind it.
test("a gang draws what is free only if all of its members fit there", t => {
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const lasting = addJob(fleet, [{ taskCount: 2, lasting: true }], "00000000000000b1");
    for (const step of lasting.readySteps()) {
        step.tasks.forEach(task => fleet.openRun(task, worker, 1, RunPhase.Running, 0));
    }
    const gang = { gang: true, taskCount: 4 };
    t.deepEqual(drawAll(fleet, [gang, gang, { taskCount: 2 }, {}]), [true, false, true, false]);
});
