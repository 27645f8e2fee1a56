import test from "ava";
import { PLAIN_STEP } from "../testing/FleetFixture.js";
import { JobState } from "./JobState.js";

function scheduled(occurrences: number): JobState {
    const spec = {
        id: "00000000000000a1",
        queue: "jobs",
        team: "lab",
        payload: "",
        steps: [PLAIN_STEP, { ...PLAIN_STEP, after: [0] }],
        schedule: { firstStartMs: 1000, periodMs: 500, occurrences },
        acceptedWallMs: 0
    };
    return new JobState(spec, 0, 1, 1);
}

function finish(job: JobState, occurrence: number): boolean {
    for (const step of job.occurrences.get(occurrence) ?? []) {
        step.tasks.forEach(task => step.markDone(task));
    }
    return job.closeDoneOccurrences();
}

test("occurrences open when they are due, never before, and may overlap", t => {
    const job = scheduled(3);
    t.false(job.openDueOccurrences(999));
    t.true(job.openDueOccurrences(1000));
    t.deepEqual([...job.readySteps()].map(step => step.name), ["00000000000000a1.0.0"]);
    t.true(job.openDueOccurrences(1600));
    t.deepEqual([...job.readySteps()].map(step => step.name), ["00000000000000a1.0.0", "00000000000000a1.1.0"]);
    t.is(job.nextDueMs, 2000);
});

test("a scheduled job is done when its last occurrence is done", t => {
    const job = scheduled(2);
    job.openDueOccurrences(1000);
    t.false(finish(job, 0));
    job.openDueOccurrences(1500);
    t.true(finish(job, 1));
});

test("another owner continues the open occurrences and opens none twice", t => {
    const job = scheduled(3);
    job.openDueOccurrences(1500);
    finish(job, 0);
    const same = scheduled(3);
    same.restore(job.encodeProgress());
    t.deepEqual([...same.occurrences.keys()], [1]);
    t.is(same.nextDueMs, 2000);
});
