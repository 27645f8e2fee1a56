import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { JobPhase } from "../model/JobSpec.js";
import { RunEnd } from "../ports/WorkerClient.js";
import { JobState } from "../state/JobState.js";
import { RunPhase } from "../state/RunState.js";
import { addJob, addWorker, createFleet, EMPTY_REPORT } from "../testing/FleetFixture.js";
import { RunTracker } from "./RunTracker.js";

const POLL = { sentAtMs: 0, token: 1 };

test("failures that several workers report out of order all count, and none counts twice", t => {
    const fleet = createFleet();
    const job = addJob(fleet, [{}]);
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const task = job.findTask(0, 0, 0)!;
    const report = (id: string, run: number): void => {
        const end = { number: 1, task: task.name, run, end: RunEnd.Failed, checkpoint: "" };
        tracker.applyReport(addWorker(fleet, id), { ...EMPTY_REPORT, ended: [end] }, POLL, 0);
    };
    report("w3", 67);
    report("w1", 65);
    report("w1", 65);
    t.is(task.failures.length, 2);
    t.is(job.phase, JobPhase.Running);
    report("w2", 66);
    t.is(job.phase, JobPhase.Failed);
});

test("failures are stored with the progress of a job, so that another owner does not count them again", t => {
    const fleet = createFleet();
    const job = addJob(fleet, [{}]);
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const end = { number: 1, task: job.findTask(0, 0, 0)!.name, run: 1, end: RunEnd.Failed, checkpoint: "" };
    tracker.applyReport(addWorker(fleet, "w1"), { ...EMPTY_REPORT, ended: [end] }, POLL, 0);
    const later = createFleet();
    const same = addJob(later, [{}]);
    same.restore(job.encodeProgress());
    new RunTracker(later, new VirtualTimer()).applyReport(
        addWorker(later, "w1"),
        { ...EMPTY_REPORT, ended: [end] },
        POLL,
        0
    );
    t.is(same.findTask(0, 0, 0)!.failures.length, 1);
});

test("nothing is started on a worker that lists an unknown run, which is stopped once the intake does not hold its job", t => {
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const stopped: string[] = [];
    tracker.onStopRequested(({ task }) => stopped.push(task));
    const lookedUp: string[] = [];
    tracker.onUnknownJob(jobId => lookedUp.push(jobId));
    const unknownRun = { task: "00000000000000ff.0.0.0", run: 4, checkpoint: "", percent: 3 };
    tracker.applyReport(worker, { ...EMPTY_REPORT, running: [unknownRun] }, POLL, 0);
    tracker.applyReport(worker, { ...EMPTY_REPORT, running: [unknownRun] }, POLL, 0);
    t.false(worker.canStart(1));
    t.deepEqual([stopped, lookedUp], [[], ["00000000000000ff"]]);
    tracker.recordAbsentJob("00000000000000ff");
    t.deepEqual(stopped, [unknownRun.task]);
    tracker.applyReport(worker, { ...EMPTY_REPORT, running: [unknownRun] }, POLL, 0);
    t.false(worker.canStart(1));
    t.deepEqual([stopped.length, lookedUp.length], [2, 1]);
    tracker.applyReport(worker, EMPTY_REPORT, POLL, 0);
    t.true(worker.canStart(1));
});

test("a run that is reported before its job is known goes on, and one that was done is not repeated", t => {
    const fleet = createFleet();
    const [busy, idle] = [addWorker(fleet, "w1"), addWorker(fleet, "w2")];
    const tracker = new RunTracker(fleet, new VirtualTimer());
    tracker.onStopRequested(() => t.fail());
    const [running, done] = ["00000000000000a1", "00000000000000b1"].map(id => ({
        task: `${id}.0.0.0`,
        run: 1,
        checkpoint: ""
    }));
    tracker.applyReport(busy, { ...EMPTY_REPORT, running: [{ ...running!, percent: 3 }] }, POLL, 0);
    tracker.applyReport(idle, { ...EMPTY_REPORT, ended: [{ ...done!, number: 1, end: RunEnd.Done }] }, POLL, 0);
    t.deepEqual([...idle.heldEnds.keys()], [1]);
    const jobs = ["00000000000000a1", "00000000000000b1"].map(id => addJob(fleet, [{}], id));
    jobs.forEach(job => tracker.applyHeldReports(job.spec.id));
    t.is(jobs[0]!.findTask(0, 0, 0)!.run?.worker, busy);
    t.is(jobs[1]!.phase, JobPhase.Completed);
    t.false(busy.awaitsIntake || idle.awaitsIntake);
});

test("a run whose start order got no reply counts until a poll with a later token does not list it", t => {
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const run = fleet.openRun(task, worker, 1, RunPhase.Uncertain, 0);
    run.resolvingToken = 5;
    tracker.applyReport(worker, EMPTY_REPORT, { sentAtMs: 10, token: 4 }, 0);
    t.false(task.waiting);
    t.is(worker.used.cpuMilli, 1000);
    tracker.applyReport(worker, EMPTY_REPORT, { sentAtMs: 10, token: 5 }, 0);
    t.true(task.waiting);
    t.is(worker.used.cpuMilli, 0);
});

test("a confirmed run has ended when a later poll does not list it", t => {
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    const tracker = new RunTracker(fleet, new VirtualTimer());
    fleet.openRun(task, worker, 1, RunPhase.Running, 100);
    tracker.applyReport(worker, EMPTY_REPORT, { sentAtMs: 50, token: 1 }, 0);
    t.false(task.waiting, "the poll was sent before the start was confirmed");
    tracker.applyReport(worker, EMPTY_REPORT, { sentAtMs: 150, token: 1 }, 0);
    t.true(task.waiting);
});

// Guards against starting a task again whose end did not fit into the report.
test("a run that is missing from a report without room for all ends stays open until a report lists all of them", t => {
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const tasks = addJob(fleet, [{ taskCount: 3 }]).findTask(0, 0, 0)!.step.tasks;
    const tracker = new RunTracker(fleet, new VirtualTimer());
    tasks.slice(0, 2).forEach(task => fleet.openRun(task, worker, 1, RunPhase.Running, 100));
    fleet.openRun(tasks[2]!, worker, 1, RunPhase.Uncertain, 100).resolvingToken = 5;
    const ends = tasks.map(({ name }, index) => ({
        number: index + 1,
        task: name,
        run: 1,
        end: RunEnd.Done,
        checkpoint: ""
    }));
    const poll = { sentAtMs: 150, token: 5 };
    tracker.applyReport(worker, { ...EMPTY_REPORT, ended: ends.slice(0, 1), hasMoreEnds: true }, poll, 0);
    t.deepEqual(tasks.map(task => [task.done, task.run !== undefined]), [[true, false], [false, true], [false, true]]);
    t.is(worker.used.cpuMilli, 2000);
    tracker.applyReport(worker, { ...EMPTY_REPORT, ended: ends.slice(1, 2) }, { sentAtMs: 200, token: 5 }, 1);
    t.deepEqual(tasks.map(({ done }) => done), [true, true, false]);
    t.true(tasks[2]!.waiting, "all ends are listed and its start order was voided");
    t.is(worker.used.cpuMilli, 0);
});

test("a gang is done as soon as one member ends as done", t => {
    const fleet = createFleet();
    const job = addJob(fleet, [{ taskCount: 3, gang: true }, { after: [0] }]);
    const worker = addWorker(fleet, "w1");
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const end = { number: 1, task: job.findTask(0, 0, 1)!.name, run: 1, end: RunEnd.Done, checkpoint: "" };
    tracker.applyReport(worker, { ...EMPTY_REPORT, ended: [end] }, POLL, 0);
    t.deepEqual([...job.readySteps()].map(step => step.number), [1]);
});

test("a gang with missing members after a takeover is stopped as a whole", t => {
    const fleet = createFleet();
    const job = addJob(fleet, [{ taskCount: 2, gang: true }]);
    const worker = addWorker(fleet, "w1");
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const stopped: string[] = [];
    tracker.onStopRequested(({ task }) => stopped.push(task));
    const member = job.findTask(0, 0, 0)!.name;
    const running = [{ task: member, run: 1, checkpoint: "", percent: 3 }];
    tracker.applyReport(worker, { ...EMPTY_REPORT, running }, POLL, 0);
    t.deepEqual(stopped, []);
    tracker.stopPartialGangs();
    t.deepEqual(stopped, [member]);
});

test("a job that has used up its attempts fails once the owner has the configuration that limits them", t => {
    const fleet = createFleet();
    const config = fleet.config;
    fleet.config = undefined;
    const job = addJob(fleet, [{}]);
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const task = job.findTask(0, 0, 0)!.name;
    const ended = [1, 2, 3].map(run => ({ number: run, task, run, end: RunEnd.Failed, checkpoint: "" }));
    tracker.applyReport(addWorker(fleet, "w1"), { ...EMPTY_REPORT, ended }, POLL, 0);
    t.is(job.phase, JobPhase.Running);
    fleet.config = config;
    tracker.failExhausted();
    t.is(job.phase, JobPhase.Failed);
});

test("a lasting task waits to be restarted however it ended", t => {
    const fleet = createFleet();
    const job = addJob(fleet, [{ lasting: true }]);
    const worker = addWorker(fleet, "w1");
    const tracker = new RunTracker(fleet, new VirtualTimer());
    const task = job.findTask(0, 0, 0)!;
    for (
        const [index, how] of [RunEnd.Done, RunEnd.Failed, RunEnd.Failed, RunEnd.Failed, RunEnd.LeaseExpired].entries()
    ) {
        const run = index + 1;
        fleet.openRun(task, worker, run, RunPhase.Running, 0);
        const end = { number: run, task: task.name, run, end: how, checkpoint: "" };
        tracker.applyReport(worker, { ...EMPTY_REPORT, ended: [end] }, POLL, index);
        t.true(task.waiting, how);
        t.is(job.phase, JobPhase.Running);
    }
});

test("lasting tasks are stopped only when their job is cancelled", async t => {
    const fleet = createFleet();
    const timer = new VirtualTimer();
    const tracker = new RunTracker(fleet, timer);
    const worker = addWorker(fleet, "w1");
    const job = addJob(fleet, [{ taskCount: 2, lasting: true, maximumAway: 1 }]);
    const stopped: string[] = [];
    tracker.onStopRequested(({ task }) => stopped.push(task));
    const tasks = [0, 1].map(index => job.findTask(0, 0, index)!);
    const running = tasks.map(task => {
        fleet.openRun(task, worker, 1, RunPhase.Running, 0);
        return { task: task.name, run: 1, checkpoint: "", percent: 100 };
    });
    for (let round = 0; round < 20; round++) {
        await timer.advance(1000);
        tracker.applyReport(worker, { ...EMPTY_REPORT, running }, { sentAtMs: timer.nowMs(), token: 1 }, 0);
    }
    worker.entry = { ...worker.entry, draining: true };
    const end = { number: 1, task: tasks[0]!.name, run: 1, end: RunEnd.Failed, checkpoint: "" };
    tracker.applyReport(
        worker,
        { ...EMPTY_REPORT, running: running.slice(1), ended: [end] },
        { sentAtMs: timer.nowMs(), token: 1 },
        0
    );
    t.deepEqual(stopped, []);
    t.true(tasks[0]!.waiting);
    t.is(job.phase, JobPhase.Running);
    tracker.finishJob(job, JobPhase.Cancelled);
    t.deepEqual(stopped, [tasks[1]!.name]);
});

for (const isEnded of [false, true]) {
    const name = isEnded ? "has ended" : "runs";
    test.failing(`a task that ${name} before its occurrence is due by this owner's clock is not stopped or repeated`, t => {
        const fleet = createFleet();
        const worker = addWorker(fleet, "w1");
        const { spec } = addJob(fleet, [{}]);
        const schedule = { firstStartMs: 10_000, periodMs: 60_000, occurrences: 2 };
        // The former owner, with a clock 3 s ahead, opened the occurrence and could not store that.
        const job = new JobState({ ...spec, schedule }, 0, 1, 100_001);
        fleet.jobs.set(spec.id, job);
        job.openDueOccurrences(7500);
        const tracker = new RunTracker(fleet, new VirtualTimer());
        tracker.onStopRequested(() => t.fail("the run is stopped"));
        const run = { task: `${spec.id}.0.0.0`, run: 1, checkpoint: "" };
        const report = isEnded
            ? { ...EMPTY_REPORT, ended: [{ ...run, number: 1, end: RunEnd.Done }] }
            : { ...EMPTY_REPORT, running: [{ ...run, percent: 3 }] };
        tracker.applyReport(worker, report, POLL, 0);
        const isHeld = worker.heldEnds.size > 0 || worker.heldRuns.size > 0;
        job.openDueOccurrences(10_500);
        const task = job.findTask(0, 0, 0)!;
        t.true(isHeld || task.done || task.run !== undefined, "the report is dropped, so the task starts again");
    });
}

test("a task is stopped as stalled once it stands still for longer than a long task takes for a hundredth", async t => {
    for (
        const [estimateMs, waitMs, isStopped] of [[1000, 6000, true], [600_000, 6000, false], [
            600_000,
            60_000,
            true
        ]] as const
    ) {
        const timer = new VirtualTimer();
        const fleet = createFleet();
        const worker = addWorker(fleet, "w1");
        const tracker = new RunTracker(fleet, timer);
        const run = fleet.openRun(addJob(fleet, [{ estimateMs }]).findTask(0, 0, 0)!, worker, 1, RunPhase.Running, 0);
        const running = [{ task: run.task.name, run: 1, checkpoint: "", percent: 0 }];
        await timer.advance(waitMs);
        tracker.applyReport(worker, { ...EMPTY_REPORT, running }, POLL, 0);
        t.is(run.stopRequested, isStopped);
    }
});

// Guards against runs that are left alone, or stopped as stalled, by what the former incarnation of their worker did.
test("a run that the next incarnation of its worker lists is stopped, timed and slowed down there anew", async t => {
    const [fleet, timer] = [createFleet(), new VirtualTimer()];
    const tracker = new RunTracker(fleet, timer);
    const stopped: string[] = [];
    tracker.onStopRequested(({ task }) => stopped.push(task));
    const former = addWorker(fleet, "w1");
    const [cancelled, idle] = addJob(fleet, [{ taskCount: 2, filler: true }]).findTask(0, 0, 0)!.step.tasks.map(task =>
        fleet.openRun(task, former, 1, RunPhase.Running, timer.nowMs())
    );
    await timer.advance(3000);
    tracker.stopRun(cancelled);
    const next = addWorker(fleet, "w1", { incarnation: 2 });
    fleet.moveRuns(former, next, 2);
    t.false(idle!.speedLimitKnown);
    const running = [cancelled, idle].map(run => ({ task: run!.task.name, run: 1, checkpoint: "", percent: 0 }));
    tracker.applyReport(next, { ...EMPTY_REPORT, running }, { sentAtMs: timer.nowMs(), token: 2 }, 0);
    t.deepEqual(stopped, [cancelled!.task.name, cancelled!.task.name]);
});
