// A gang waits for room, and the scheduler keeps executors free for it. An urgent service takes part of that room, so that
// the gang can't start any more. That must not hold back the other jobs: most of the room is free.
import { config, route, runCase, seconds, sleep, startDeployment, stateOf, submit, TROUBLE } from "../standins-3.mjs";

const FINISH_MS = 14_000;
const WATCH_MS = 3000;
const LATE_JOB = "/jobs/00000000c0ffee33";

await runCase(import.meta.url, 110, async context => {
    const running = new Map();
    const hooks = {
        onStart: (source, run) => running.set(run.task, source.name),
        onEnd: (source, run) => running.delete(run.task)
    };
    const routes = [route("jobs"), route("gangs"), route("urgent", 0)];
    const { client } = await startDeployment(context, config(1, routes), hooks);
    // One task of 10 of the 16 cores on each executor, for 6 s.
    await submit(client, "/jobs/00000000c0ffee31", 6000, { count: 8, cpu: 10_000 });
    await sleep(1500);
    // A gang that fits as soon as these tasks are done: 13 tasks of 7 cores, two on an executor.
    await submit(client, "/gangs/00000000c0ffee32", 2000, { count: 13, cpu: 7000, gang: true });
    await sleep(1000);
    if (TROUBLE) {
        // Five tasks that last, of 10 cores, on five executors: 50 of 128 cores.
        await submit(client, "/urgent/00000000c0ffee34", 3_600_000, {
            count: 5,
            cpu: 10_000,
            estimateMs: 5000,
            longRunning: true,
            maxPerServer: 1
        });
    }
    await sleep(8000);
    await submit(client, LATE_JOB, 1000, { count: 2, cpu: 2000 });
    context.record.write("script", "end of the traffic");
    await sleep(FINISH_MS);
    const endS = seconds() + WATCH_MS / 1000;
    while (seconds() < endS) {
        const state = await stateOf(client, LATE_JOB);
        if (state === "completed" || [...running.keys()].some(task => LATE_JOB.endsWith(task.split(".")[0]))) {
            return { broken: false, text: `${LATE_JOB} is ${state}` };
        }
        await sleep(250);
    }
    const state = await stateOf(client, LATE_JOB);
    return {
        broken: true,
        text: `${LATE_JOB} is ${state} ${(FINISH_MS + WATCH_MS) / 1000} s after it was accepted, while ${running.size} tasks `
            + `run on ${new Set(running.values()).size} of 8 executors, ${running.size * 10} of 128 cores`
    };
});
