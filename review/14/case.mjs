// A gang waits for room, and the scheduler keeps executors free for it. The operator removes the gang's route. From then
// on nothing may hold back the jobs of the other route: all executors are idle, so a new job has to start.
import { config, route, runCase, seconds, sleep, startDeployment, stateOf, submit, TROUBLE } from "../standins-3.mjs";

const FINISH_MS = 14_000;
const WATCH_MS = 3000;
const LATE_JOB = "/jobs/00000000c0ffee03";

await runCase(import.meta.url, 110, async context => {
    const running = new Set();
    const hooks = {
        onStart: (source, run) => running.add(`${source.name} ${run.task}`),
        onEnd: (source, run) => running.delete(`${source.name} ${run.task}`)
    };
    const both = [route("jobs"), route("gangs")];
    const { store, client } = await startDeployment(context, config(1, both), hooks);
    // One task of 10 of the 16 cores on each executor, for 6 s.
    await submit(client, "/jobs/00000000c0ffee01", 6000, { count: 8, cpu: 10_000 });
    await sleep(1500);
    // A gang that fits as soon as these tasks are done: 13 tasks of 7 cores, two on an executor.
    await submit(client, "/gangs/00000000c0ffee02", 2000, { count: 13, cpu: 7000, gang: true });
    await sleep(1000);
    if (TROUBLE) {
        store.put("op", "config", config(2, [route("jobs")]));
        context.record.write("operator", "version 2 of the config removes the route gangs");
    }
    await sleep(8000);
    await submit(client, LATE_JOB, 1000, { count: 2, cpu: 2000 });
    context.record.write("script", "end of the traffic");
    await sleep(FINISH_MS);
    const endS = seconds() + WATCH_MS / 1000;
    while (seconds() < endS) {
        const state = await stateOf(client, LATE_JOB);
        if (state === "completed" || running.size > 0) {
            return { broken: false, text: `${LATE_JOB} is ${state}, ${running.size} tasks run` };
        }
        await sleep(250);
    }
    const state = await stateOf(client, LATE_JOB);
    return {
        broken: true,
        text: `${LATE_JOB} is ${state} ${(FINISH_MS + WATCH_MS) / 1000} s after it was accepted, and no executor runs anything`
    };
});
