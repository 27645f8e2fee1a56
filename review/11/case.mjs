// An executor loses power and is back 0.3 s later under the id that it had; its open connections stay silent. An order
// to start a task reaches the new life over a new connection, and the task runs there. Then the executor is cut off from
// the system for 3 s and runs on. The task must not be started a second time while it runs and its lease lasts.
import { config, route, runCase, seconds, sleep, startDeployment, stateOf, submit, TROUBLE } from "../standins-3.mjs";

const DOWN_MS = 300;
const REGISTERED_AFTER_MS = 800;
const TASK_MS = 4000;
const CUT_AFTER_START_MS = 200;
const CUT_MS = 3000;
/** ONLY=crash and ONLY=cut leave the other one out. */
const { ONLY } = process.env;
const JOB = "/jobs/00000000c0ffee51";

await runCase(import.meta.url, 60, async context => {
    const { record } = context;
    const running = new Map();
    const broken = [];
    const hooks = {
        kindOf: index => index < 2 ? "b" : "a",
        onStart: (source, run) => {
            const others = running.get(run.task) ?? [];
            for (const other of others) {
                const text = `${run.task} attempt ${run.run} starts on ${source.name} while attempt ${other.run} runs on ${other.name}`;
                record.write("TWICE", text);
                broken.push(text);
            }
            running.set(run.task, [...others, { name: source.name, run: run.run }]);
        },
        onEnd: (source, run) => {
            running.set(run.task, (running.get(run.task) ?? []).filter(each => each.name !== source.name || each.run !== run.run));
        }
    };
    const { client, executors } = await startDeployment(context, config(1, [route("jobs")]), hooks);
    const [executor] = executors;
    await sleep(1000);
    if (TROUBLE && ONLY !== "cut") {
        executor.crashSilently();
        await sleep(DOWN_MS);
        await executor.start({ sameId: true, registeredAfterMs: REGISTERED_AFTER_MS });
    }
    await submit(client, JOB, TASK_MS, { count: 1, cpu: 4500, requiredLabel: "b" });
    if (TROUBLE && ONLY !== "crash") {
        await sleep(CUT_AFTER_START_MS);
        executor.cutOff(CUT_MS);
    }
    const endS = seconds() + 25;
    while (seconds() < endS && await stateOf(client, JOB) !== "completed") {
        await sleep(500);
    }
    await sleep(2000);
    return { broken: broken.length > 0, text: broken[0] ?? "the task ran once at a time" };
});
