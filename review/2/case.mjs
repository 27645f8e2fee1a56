// An executor that was just added starts a task; then the store is down, and the process that acts as the owner is killed.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { sleep } from "../lib/store.mjs";
import { jobId, runCase } from "../lib/system.mjs";

const EXECUTORS = 4;
const DOWN_MS = 4200;
const RESTART_MS = 3500;
const EXPIRY_MS = 4500;
/** The fourth entry of the added executor; the third came just before the store was back. */
const ADDED_BEAT_MS = 5600;
const BLOCKING_MS = 3000;
const WORK_MS = 10_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (system, trouble) => {
    const job = (count, workMs) => ({
        spec: JSON.stringify({ workMs }),
        phases: [{ count, cpu: 16_000, memMb: 8800, estimateMs: workMs }]
    });
    await system.submit(jobId(0), job(EXECUTORS, BLOCKING_MS));
    await system.waitFor("the executors to be full", 10_000, () => system.of("start").length === EXECUTORS);
    await system.submit(jobId(1), job(1, WORK_MS));
    await sleep(500);
    const added = await system.addExecutor(EXECUTORS);
    await system.waitForStart(jobId(1));
    if (trouble) {
        const { owner } = system;
        const downAtMs = system.nowMs;
        system.record("store-down", { owner: owner.node });
        system.store.setMode("busy");
        await sleep(1000);
        owner.child.kill("SIGKILL");
        await sleep(downAtMs + DOWN_MS - system.nowMs);
        system.store.setMode("up");
        system.record("store-up", {});
        // Each executor writes its entry about every 1.5 s, from its own moment on. The others do so in time; the entry
        // of the added one expires after 4.5 s of silence and is back with its next write.
        await sleep(downAtMs + EXPIRY_MS - system.nowMs);
        system.expire(added);
        await sleep(downAtMs + ADDED_BEAT_MS - system.nowMs);
        added.register();
    }
    await sleep(20_000);
    const overlaps = findOverlaps(system, jobId(1));
    return {
        broken: overlaps.length > 0,
        text: `${overlaps.length} times two runs of a task at the same time: ${JSON.stringify(overlaps)}; state ${await system.state(jobId(1))}`
    };
}, { executors: EXECUTORS, restartMs: RESTART_MS });

/** Pairs of runs of a task that were there at the same time (TWICE). */
function findOverlaps(system, id) {
    const running = new Map();
    const overlaps = [];
    for (const { kind, task, attempt, executor, atMs } of system.events) {
        if (kind === "start" && task.startsWith(id)) {
            for (const other of running.values()) {
                overlaps.push({ task, attempts: [other.attempt, attempt], on: [other.executor, executor], fromMs: atMs });
            }
            running.set(`${executor}/${attempt}`, { attempt, executor });
        }
        if (kind === "end" && task.startsWith(id)) {
            running.delete(`${executor}/${attempt}`);
        }
    }
    return overlaps;
}
