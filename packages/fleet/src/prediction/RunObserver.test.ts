import { VirtualTimer } from "@skylarkpath/common/time/VirtualTimer";
import test from "ava";
import { RunTracker } from "../owner/RunTracker.js";
import { RunEnd } from "../ports/WorkerClient.js";
import { RunPhase, type RunState } from "../state/RunState.js";
import { addJob, addWorker, createFleet, EMPTY_REPORT } from "../testing/FleetFixture.js";
import { MAX_SILENCE_MS } from "./RunObserver.js";

/** Runs two tasks, started at 0 and 400 ms, until 2 s, last reported before a silence; returns the observed run times. */
async function observe(gang: boolean, silenceMs: number, change: (last: RunState) => void): Promise<number[]> {
    const timer = new VirtualTimer();
    const fleet = createFleet();
    const worker = addWorker(fleet, "w1");
    const tracker = new RunTracker(fleet, timer);
    const observed: number[] = [];
    tracker.onStepObserved(({ runs }) => observed.push(...runs.map(({ runTimeMs }) => runTimeMs)));
    const { tasks } = addJob(fleet, [{ taskCount: 2, gang }]).findTask(0, 0, 0)!.step;
    const runs = tasks.map((task, index) => fleet.openRun(task, worker, 1, RunPhase.Running, index * 400));
    runs.forEach(run => run.startSeen = true);
    change(runs[1]!);
    await timer.advance(2000 - silenceMs);
    const reported = tasks.map(({ name }, index) => ({ number: index + 1, task: name, run: 1, checkpoint: "" }));
    const running = reported.map(run => ({ ...run, percent: 50 }));
    tracker.applyReport(worker, { ...EMPTY_REPORT, running }, { sentAtMs: 0, token: 1 }, 0);
    await timer.advance(silenceMs);
    const ended = reported.map(run => ({ ...run, end: RunEnd.Done }));
    tracker.applyReport(worker, { ...EMPTY_REPORT, ended }, { sentAtMs: timer.nowMs(), token: 1 }, 0);
    return observed;
}

test("a run is observed from its confirmed start to its end, and a gang from its last start, if all of it was seen", async t => {
    const unchanged = (): void => undefined;
    t.deepEqual(await observe(false, 100, unchanged), [2000, 1600]);
    t.deepEqual(await observe(true, 100, unchanged), [1600]);
    t.deepEqual(await observe(false, 100, last => last.startSeen = false), [2000]);
    t.deepEqual(await observe(false, 100, last => last.phase = RunPhase.Uncertain), [2000]);
    t.deepEqual(await observe(true, 100, last => last.startSeen = false), []);
    t.deepEqual(await observe(false, MAX_SILENCE_MS + 1, unchanged), []);
});
