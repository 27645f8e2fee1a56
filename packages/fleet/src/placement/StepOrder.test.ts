import test from "ava";
import { JobState } from "../state/JobState.js";
import { addJob, createFleet, PLAIN_CONFIG } from "../testing/FleetFixture.js";
import { orderSteps, Usefulness } from "./StepOrder.js";

/** The objective of a job with a step of one second, in the fixture's queue. */
const OBJECTIVE_MS = 3000;
const FIRST = "00000000000000a1";
const SECOND = "00000000000000a2";

test("a job that its caller still waits for comes before one that has become useless", t => {
    const fleet = createFleet();
    addJob(fleet, [{}], FIRST);
    addJob(fleet, [{}], SECOND);
    Object.assign(fleet.jobs.get(SECOND)!, { acceptedAtMs: OBJECTIVE_MS * 2 });
    const order = orderSteps(fleet, OBJECTIVE_MS * 4);
    t.deepEqual(order.map(({ step, usefulness }) => [step.job.spec.id, usefulness]), [
        [SECOND, Usefulness.Late],
        [FIRST, Usefulness.None]
    ]);
});

test("a step that waits for the policy has to be ready earlier by the time that answers take", t => {
    const fleet = createFleet();
    const policy = { decideMs: 10, perWorkerMs: 1, permitMs: 1500 };
    fleet.config = { ...PLAIN_CONFIG, queues: [{ ...PLAIN_CONFIG.queues[0]!, policy }] };
    fleet.policyDelayMs = 800;
    addJob(fleet, [{}], FIRST);
    const nowMs = OBJECTIVE_MS - 1500;
    t.is(orderSteps(fleet, nowMs)[0]?.usefulness, Usefulness.Late);
    orderSteps(fleet, nowMs)[0]!.step.permits.latestExpiryMs = nowMs + 1000;
    t.is(orderSteps(fleet, nowMs)[0]?.usefulness, Usefulness.InTime);
    fleet.policyDelayMs = 100;
    orderSteps(fleet, nowMs)[0]!.step.permits.latestExpiryMs = 0;
    t.is(orderSteps(fleet, nowMs)[0]?.usefulness, Usefulness.InTime);
});

// Guards against a job that repeats and holds back all later jobs, or comes last with each occurrence once it is old.
test("an occurrence is ordered by the time at which it was due, not by that at which its job was accepted", t => {
    const fleet = createFleet();
    fleet.clockOffsetMs = 1_000_000;
    const { spec } = addJob(fleet, [{}], FIRST);
    addJob(fleet, [{}], SECOND);
    Object.assign(fleet.jobs.get(SECOND)!, { acceptedAtMs: 100_000 });
    const schedule = { firstStartMs: 1_050_000, periodMs: 49_900, occurrences: 2 };
    const repeating = new JobState({ ...spec, schedule }, 10_000, 1, 1);
    fleet.jobs.set(FIRST, repeating);
    repeating.openDueOccurrences(1_100_000);
    t.deepEqual(orderSteps(fleet, 100_500).map(({ step, usefulness, dueMs }) => [step.name, usefulness, dueMs]), [
        [`${FIRST}.1.0`, Usefulness.InTime, 99_900 + OBJECTIVE_MS],
        [`${SECOND}.0.0`, Usefulness.InTime, 100_000 + OBJECTIVE_MS],
        [`${FIRST}.0.0`, Usefulness.None, 50_000 + OBJECTIVE_MS]
    ]);
});
