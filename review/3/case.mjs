// A job that repeats each minute is handed in with a start that lies 90 days back.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../lib/store.mjs";
import { jobId, OTHER_KEY, runCase } from "../lib/system.mjs";

const PERIOD_MS = 60_000;
const AGE_MS = 90 * 24 * 3_600_000;
const REPEATS = 2_000_000;
const WORK_MS = 800;
const WATCH_MS = 45_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, trouble) => {
    const small = { spec: JSON.stringify({ workMs: WORK_MS }), phases: [{ count: 2, cpu: 1400, memMb: 4000, estimateMs: WORK_MS }] };
    const repeating = {
        ...small,
        startAtMs: Date.now() - (trouble ? AGE_MS : 0),
        periodMs: PERIOD_MS,
        repeatCount: REPEATS
    };
    if (!(await system.submit(jobId(0), repeating))) {
        throw new Error("the repeating job was not accepted");
    }
    const ids = [];
    const endMs = system.nowMs + WATCH_MS;
    while (system.nowMs < endMs) {
        const id = jobId(1 + ids.length);
        if (await system.submit(id, small, { key: OTHER_KEY })) {
            ids.push(id);
        }
        await sleep(1000);
    }
    await sleep(15_000);
    const states = await Promise.all(ids.map(id => system.state(id, { key: OTHER_KEY })));
    const ended = {};
    for (const { node } of system.of("process-ended")) {
        ended[node] = (ended[node] ?? 0) + 1;
    }
    return {
        broken: Object.values(ended).filter(count => count >= 3).length >= 2,
        text: `ends of processes: ${JSON.stringify(ended)}; ${ids.length} jobs of another tenant accepted, `
            + `${states.filter(state => state === "completed").length} completed`
    };
}, { executors: 8 });
