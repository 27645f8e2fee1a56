import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { JobState } from "../state/JobState.js";
import { addJob, createFleet } from "../testing/FleetFixture.js";
import { OccurrenceOpener } from "./OccurrenceOpener.js";
import type { CommitWaiter } from "./ProgressWriter.js";

const MAX_TOTAL_OPEN_SIZE = 20_000;
const OCCURRENCES = 100_000;

// Guards against an owner that runs out of memory over many jobs whose first start lies far back.
test("jobs that repeat share the limit of what is open, and each has at least one open occurrence", t => {
    for (const count of [10, 100, 1000]) {
        const fleet = createFleet();
        const dirty = new Set<JobState>();
        const opener = new OccurrenceOpener(
            fleet,
            { markDirty: job => dirty.add(job), addWaiter: () => undefined },
            new VirtualTimer(),
            () => undefined
        );
        const plain = addJob(fleet, [{}], "plain");
        for (let number = 0; number < count; number++) {
            const id = `repeating-${number}`;
            const { spec } = addJob(fleet, [{ taskCount: 19 }], id);
            const schedule = { firstStartMs: 0, periodMs: 1000, occurrences: OCCURRENCES };
            fleet.jobs.set(id, new JobState({ ...spec, schedule }, 0, 1, 1));
        }
        opener.openAllDue();
        const jobs = [...fleet.jobs.values()].filter(job => job !== plain);
        t.true(jobs.every(job => job.occurrences.size >= 1));
        const size = jobs.reduce((sum, job) => sum + job.occurrences.size * 20, 0);
        t.true(size <= MAX_TOTAL_OPEN_SIZE, `${size} steps and tasks of ${count} jobs`);
        t.is(dirty.size, count);
    }
});

test("planning is requested once the opened occurrences of a job that repeats are committed", t => {
    const fleet = createFleet();
    const waiters: CommitWaiter[] = [];
    let committedCount = 0;
    const opener = new OccurrenceOpener(
        fleet,
        { markDirty: () => undefined, addWaiter: waiter => waiters.push(waiter) },
        new VirtualTimer(),
        () => committedCount++
    );
    const { spec } = addJob(fleet, [{}]);
    fleet.jobs.clear();
    const job = new JobState({ ...spec, schedule: { firstStartMs: 0, periodMs: 0, occurrences: 2 } }, 0, 1, 1);
    opener.openDue(job);
    t.is(committedCount, 0);
    const committed = waiters.map(waiter => waiter.beginBatch());
    committed.forEach(callback => callback());
    t.is(committedCount, 1);
});
