import test from "ava";
import { PLAIN_STEP } from "../testing/FleetFixture.js";
import { JobState, MAX_OPEN_SIZE } from "./JobState.js";

/** Maximum bytes of a row on the platform. */
const PLATFORM_ROW_BYTES = 65_536;

function scheduled(occurrences: number, steps = [PLAIN_STEP, { ...PLAIN_STEP, after: [0] }]): JobState {
    const spec = {
        id: "00000000000000a1",
        queue: "jobs",
        team: "lab",
        payload: "",
        steps,
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

// Guards against an owner that runs out of memory over one job whose first start lies far back.
test("occurrences that are due at once open a few at a time, and none is dropped or opened twice", t => {
    const job = scheduled(5000);
    const seen: number[] = [];
    let largest = 0;
    for (let isDone = false; !isDone;) {
        job.openDueOccurrences(Number.MAX_SAFE_INTEGER);
        largest = Math.max(largest, [...job.openSteps()].reduce((size, step) => size + 1 + step.tasks.length, 0));
        const open = [...job.occurrences.keys()];
        seen.push(...open.filter(number => !seen.includes(number)));
        // The later half ends first.
        for (const number of open.slice(Math.floor(open.length / 2))) {
            isDone = finish(job, number);
        }
    }
    t.true(largest <= MAX_OPEN_SIZE, `${largest} steps and tasks`);
    t.deepEqual(seen, [...Array(5000).keys()]);
});

test("an occurrence that is larger than the limit is opened alone", t => {
    const job = scheduled(3, [{ ...PLAIN_STEP, taskCount: 2 * MAX_OPEN_SIZE }]);
    job.openDueOccurrences(Number.MAX_SAFE_INTEGER);
    t.deepEqual([...job.occurrences.keys()], [0]);
});

// Guards against a progress row that the store refuses, so that no end of any job is taken note of any more.
for (const taskCount of [1, 2, 50]) {
    test(`the progress of all open occurrences of steps of ${taskCount} tasks fits into a row`, t => {
        const job = scheduled(5000, [{ ...PLAIN_STEP, taskCount, checkpointing: true }]);
        job.openDueOccurrences(Number.MAX_SAFE_INTEGER);
        for (const task of [...job.openSteps()].flatMap(step => step.tasks)) {
            task.failures = [12_300_001, 12_300_002];
            task.checkpoint = "00000bb87a21d94b";
        }
        t.true(JSON.stringify(job.encodeProgress()).length < PLATFORM_ROW_BYTES);
    });
}

// Guards against a successor that does not know the runs of an occurrence, and drops their ends.
test("an occurrence of a job that repeats may start only once it is open in the store", t => {
    const job = scheduled(3);
    job.openDueOccurrences(1000);
    t.false(job.mayStart(0));
    const commit = job.beginCommit();
    job.openDueOccurrences(1500);
    commit();
    t.deepEqual([job.mayStart(0), job.mayStart(1)], [true, false]);
    const same = scheduled(3);
    same.restore(job.encodeProgress());
    t.deepEqual([same.mayStart(0), same.mayStart(1), same.mayStart(2)], [true, true, false]);
});

test("open occurrences without any progress are restored like the others", t => {
    const job = scheduled(3);
    job.openDueOccurrences(1500);
    const [step] = job.occurrences.get(0)!;
    step!.markDone(step!.tasks[0]!);
    const same = scheduled(3);
    same.restore(job.encodeProgress());
    t.deepEqual([...same.readySteps()].map(({ name }) => name), ["00000000000000a1.0.1", "00000000000000a1.1.0"]);
});
