import { JobPhase } from "@skylarkpath/fleet/model/JobSpec";
import test from "ava";
import { FleetDeployment } from "./FleetDeployment.js";

interface Restart {
    /** The directory lists the restart while the worker is cut off. */
    readonly listed: boolean;
    /** The owner is killed once the worker is cut off. */
    readonly ownerKilled: boolean;
    readonly taskCount: number;
}

/** Restarts a worker unnoticed, so that its next incarnation gets the orders meant for this one, and cuts it off. */
async function cutOffRestartedWorker(restart: Restart, seed: number): Promise<FleetDeployment> {
    const deployment = new FleetDeployment({ processes: 3, workers: 1, seed });
    const { timer, fleet, rules } = deployment;
    await timer.advance(3000);
    const { entry } = fleet.workers.get("w0")!;
    const restarted = { ...entry, incarnation: timer.wallClockMs() };
    fleet.start(restarted);
    const job = deployment.createJob([{ taskCount: restart.taskCount, estimateMs: 4000 }]);
    await timer.advanceUntil(deployment.submit(deployment.randomMachine(), job));
    while (rules.startCount < restart.taskCount) {
        await timer.advance(1);
    }
    fleet.faults.isolatedWorkers.add("w0");
    deployment.startWorker("w1");
    if (restart.ownerKilled) {
        deployment.killProcess(deployment.ownerMachine);
        await timer.advance(4500);
    }
    if (restart.listed) {
        deployment.updateDirectory(restarted);
    }
    await timer.advance(restart.ownerKilled ? 1500 : 3000);
    fleet.faults.isolatedWorkers.clear();
    const phase = await deployment.waitUntilFinal(job, 20_000);
    if (phase !== JobPhase.Completed) {
        rules.violations.push(`the job is ${phase}`);
    }
    return deployment;
}

// Guards against a task that starts elsewhere beside its run on the next incarnation of a worker that is cut off.
for (const listed of [true, false]) {
    for (const ownerKilled of [false, true]) {
        for (const taskCount of [1, 3]) {
            const title = `${taskCount} ordered from a worker that has restarted, ${listed ? "" : "not "}listed as such`
                + `${ownerKilled ? ", and the owner is killed" : ""}: started once`;
            test(title, async t => {
                const deployment = await cutOffRestartedWorker({ listed, ownerKilled, taskCount }, 1);
                t.deepEqual(deployment.rules.allViolations(), []);
                t.is(deployment.rules.startCount, taskCount);
            });
        }
    }
}

/** A call times out, is repeated after a pause, and a row that names the worker is committed. */
const REACTION_MS = 510 + 150 + 140;
/** The directory lists a restart that it does not list at once after this time. */
const LIST_DELAY_MS = 3000;

/** Restarts both workers; returns the time until their tasks have started again. */
async function measureRestart(listed: boolean, silentMs: number): Promise<number> {
    const deployment = new FleetDeployment({ processes: 3, workers: 2, seed: 2 });
    const { timer, fleet, rules } = deployment;
    await timer.advance(3000);
    const size = { cpuMilli: 3000, memoryMb: 100, accelerators: 0 };
    const job = deployment.createJob([{ taskCount: 2, estimateMs: 60_000, size }]);
    await timer.advanceUntil(deployment.submit(deployment.randomMachine(), job));
    await timer.advance(1500);
    const restartedAtMs = timer.nowMs();
    for (const { entry } of [...fleet.workers.values()]) {
        const restarted = { ...entry, incarnation: timer.wallClockMs() };
        fleet.start(restarted);
        fleet.faults.isolatedWorkers.add(entry.id);
        timer.after(silentMs, () => fleet.faults.isolatedWorkers.delete(entry.id));
        timer.after(listed ? 0 : LIST_DELAY_MS, () => deployment.updateDirectory(restarted));
    }
    while (rules.startCount < 4 && timer.nowMs() < restartedAtMs + 20_000) {
        await timer.advance(1);
    }
    return timer.nowMs() - restartedAtMs;
}

test("tasks of workers that restart start again once these answer and are listed", async t => {
    for (const silentMs of [0, 200, 1000]) {
        const durationMs = await measureRestart(true, silentMs);
        t.true(durationMs <= silentMs + REACTION_MS, `after ${durationMs} ms, ${silentMs} of them without an answer`);
        t.true(await measureRestart(false, silentMs) <= LIST_DELAY_MS + REACTION_MS);
    }
});
