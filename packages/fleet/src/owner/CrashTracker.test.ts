import { SILENT_LOG } from "@skylarkpath/common/log/EventLog";
import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import type { JobProgress } from "../model/JobProgress.js";
import { JobPhase } from "../model/JobSpec.js";
import type { FleetState } from "../state/FleetState.js";
import { RunPhase } from "../state/RunState.js";
import type { TaskState } from "../state/TaskState.js";
import type { WorkerState } from "../state/WorkerState.js";
import { addJob, addWorker, createFleet, EMPTY_REPORT } from "../testing/FleetFixture.js";
import { CrashTracker } from "./CrashTracker.js";
import { RunTracker } from "./RunTracker.js";

interface Fixture {
    readonly fleet: FleetState;
    readonly timer: VirtualTimer;
    readonly runs: RunTracker;
    readonly crashes: CrashTracker;
    /** Starts tasks together on a worker and loses it. */
    readonly crash: (tasks: readonly TaskState[], phase?: RunPhase) => void;
}

function setUp(): Fixture {
    const fleet = createFleet();
    const timer = new VirtualTimer();
    const runs = new RunTracker(fleet, timer);
    const crashes = new CrashTracker(fleet, runs, timer, SILENT_LOG);
    const crash = (tasks: readonly TaskState[], phase = RunPhase.Running): void => {
        const worker = addWorker(fleet, "w1");
        tasks.forEach(task => fleet.openRun(task, worker, task.lastRun + 1, phase, timer.nowMs()));
        crashes.recordRestart(worker);
        runs.closeAllRuns(worker);
    };
    return { fleet, timer, runs, crashes, crash };
}

function runAlone(fleet: FleetState, task: TaskState, worker: WorkerState): void {
    fleet.openRun(task, worker, task.lastRun + 1, RunPhase.Running, 0);
}

test("a job is not given up while another task on the worker has more crashes", t => {
    const { fleet, crash } = setUp();
    const culprit = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    const innocent = addJob(fleet, [{}], "00000000000000a2").findTask(0, 0, 0)!;
    crash([culprit]);
    crash([culprit, innocent]);
    t.is(culprit.step.job.phase, JobPhase.Queued);
    crash([culprit, innocent]);
    t.is(culprit.step.job.phase, JobPhase.Failed);
    t.is(innocent.step.job.phase, JobPhase.Queued);
});

test("start orders in flight and planned departures are no crashes", t => {
    const { fleet, crashes, crash } = setUp();
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    crash([task], RunPhase.Starting);
    const leaving = addWorker(fleet, "w2", { draining: true });
    runAlone(fleet, task, leaving);
    crashes.recordRestart(leaving);
    crashes.recordSilence(leaving);
    t.deepEqual(task.crashedRuns, []);
});

test("a lasting task that has run for long is not charged with a crash, and its earlier ones are forgotten", async t => {
    const { fleet, timer, runs, crashes, crash } = setUp();
    const task = addJob(fleet, [{ lasting: true }]).findTask(0, 0, 0)!;
    crash([task]);
    t.is(task.crashedRuns.length, 1);
    const worker = addWorker(fleet, "w1");
    runAlone(fleet, task, worker);
    t.is(worker.suspectCount, 1);
    await timer.advance(40_000);
    const running = [{ task: task.name, run: task.lastRun, checkpoint: "", percent: 100 }];
    runs.applyReport(worker, { ...EMPTY_REPORT, running }, { sentAtMs: 1, token: 1 }, 0);
    t.is(worker.suspectCount, 0);
    crashes.recordRestart(worker);
    t.deepEqual(task.crashedRuns, []);
});

test("a silent worker counts as crashed once the directory lists its restart or another worker at its address", t => {
    const { fleet, crashes } = setUp();
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    const worker = addWorker(fleet, "w1");
    const { entry } = worker;
    const restart = new Map([["w1", { ...entry, incarnation: 2 }]]);
    runAlone(fleet, task, worker);
    for (const proof of [restart, new Map([["w2", { ...entry, id: "w2" }]])]) {
        task.crashedRuns = [];
        crashes.recordSilence(worker);
        crashes.applyDirectory(new Map([["w1", entry]]));
        crashes.applyDirectory(new Map());
        t.deepEqual(task.crashedRuns, []);
        crashes.applyDirectory(proof);
        t.deepEqual(task.crashedRuns, [1]);
    }
});

test("a worker that was cut off and answers again has not crashed", t => {
    const { fleet, crashes } = setUp();
    const task = addJob(fleet, [{}]).findTask(0, 0, 0)!;
    const worker = addWorker(fleet, "w1");
    runAlone(fleet, task, worker);
    crashes.recordSilence(worker);
    crashes.recordAnswer(worker);
    crashes.applyDirectory(new Map([["w1", { ...worker.entry, incarnation: 2 }]]));
    t.deepEqual(task.crashedRuns, []);
});

test("crashes are stored with the progress, before the task starts again", t => {
    const { fleet, crash } = setUp();
    const job = addJob(fleet, [{}]);
    crash([job.findTask(0, 0, 0)!]);
    crash([job.findTask(0, 0, 0)!]);
    t.true(job.held);
    const markCommitted = job.beginCommit();
    const later = addJob(createFleet(), [{}]);
    later.restore(job.encodeProgress());
    t.is(later.findTask(0, 0, 0)!.crashedRuns.length, 2);
    markCommitted();
    t.false(job.held);
});

// Guards against jobs that are given up after one crash, which each of several owners in a row counted anew.
test("a crash under a task that an earlier owner listed counts once, whatever the number of owners since", t => {
    const progress = [...Array(3).keys()].reduce<JobProgress | undefined>((stored, number) => {
        const { fleet, crashes } = setUp();
        const job = addJob(fleet, [{}], undefined, (number + 2) * 100_000 + 1);
        if (stored) {
            job.restore(stored);
        }
        crashes.recordEarlierRestart("w1", 1700, [job.findTask(0, 0, 0)!.name]);
        t.is(job.phase, JobPhase.Queued);
        return job.encodeProgress();
    }, undefined);
    t.is(progress!.open[0]!.steps[0]!.crashes![0]!.length, 1);
});
