// Some jobs come that can never be done. The service for advice is never asked again about the work that comes after them in the
// order, so that it isn't started, though executors stand idle.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Advice, BOUNDS, Client, Entry, Executor, newId, runCase, sleep, Store, TROUBLE } from "../standins-2.mjs";

const EXECUTORS = 8;
/** A task that lasts is to run again at the latest this long after its last run (6 s, and 3 s without a run). */
const LASTING_GAP_MS = 9000;
const WATCH_MS = 40_000;
/** The site's largest dose: 0.05 of 27 lookups a second for 3 s. */
const HOPELESS_JOBS = 4;
const HOPELESS_GAP_MS = 750;
/** As for the site's quick lookups. */
const ADVICE = { decideMs: 8, intervalMs: 1, validMs: 2500 };

runCase(dirname(fileURLToPath(import.meta.url)), 110_000, async (record, keep) => {
    const store = keep(new Store(record));
    const route = (name, priority) => ({
        name,
        host: "shop.example",
        prefix: `/${name}/`,
        service: "desk",
        priority,
        maxAttempts: 3,
        stretchFactor: 2,
        targetLatencyMs: 500,
        advice: ADVICE
    });
    store.put("op", "config", {
        version: 1,
        routes: [route("lookups", 0), route("reports", 1)],
        services: [{ name: "desk" }],
        tenants: ["team", "other"].map(name => ({ name, apiKeys: [`${name}-key`], weight: 100 }))
    });
    const advice = keep(await Advice.start(record, ADVICE));
    const executors = [];
    for (let number = 1; number <= EXECUTORS; number++) {
        executors.push(keep(await Executor.start(store, record, { id: `i-${number}`, service: "desk", rack: `r${number}` })));
    }
    const entries = [];
    for (let number = 1; number <= 2; number++) {
        const ip = `127.0.0.${10 + number}`;
        entries.push(keep(await Entry.start(store, record, { name: `edge-${number}`, ip, advice: advice.address })));
    }
    for (const entry of entries) {
        if (!await entry.awaitReady()) {
            throw new Error("an entry is not ready");
        }
    }
    await sleep(3000);
    const clientOf = (team, name) =>
        new Client(record, entries, { host: "shop.example", prefix: `/${name}/`, key: `${team}-key` });
    const handIn = async (client, job) => {
        const id = newId();
        if (!await client.submit(id, job)) {
            throw new Error("a job was not accepted");
        }
        return id;
    };
    const reports = clientOf("team", "reports");
    const task = { count: 1, cpu: 1000, memMb: 512, estimateMs: 4000 };
    const report = await handIn(reports, { spec: JSON.stringify({ ms: 4000 }), phases: [task, { ...task, after: [0] }] });
    // Each run fails by itself after 5 s, as tasks that last may at any time.
    const service = await handIn(reports, { spec: JSON.stringify({ ms: 5000, how: "failed" }), phases: [{ ...task, longRunning: true }] });
    await sleep(1000);
    for (let count = 0; TROUBLE && count < HOPELESS_JOBS; count++) {
        // No executor has the label.
        await handIn(clientOf("other", "lookups"), {
            spec: "{}",
            phases: [{ count: 12, cpu: 4200, memMb: 4000, estimateMs: 800, requiredLabel: "z" }]
        });
        await sleep(HOPELESS_GAP_MS);
    }
    const trafficEndMs = record.nowMs;
    await sleep(WATCH_MS);
    const judgedAtMs = record.nowMs;
    record.write(`job ${report} is ${await reports.state(report)}`);
    record.write(`job ${service} is ${await reports.state(service)}`);
    const runs = executors.flatMap(executor => executor.runs).filter(run => run.startedAtMs < judgedAtMs);
    const broken = [];
    const reportRuns = runs.filter(run => run.task.startsWith(report));
    const isReportDone = reportRuns.some(run => run.task === `${report}.0.1.0` && run.how === "done");
    const lastReportMs = Math.max(trafficEndMs, ...reportRuns.map(run => run.endedAtMs ?? judgedAtMs));
    if (!isReportDone && judgedAtMs > Math.max(trafficEndMs + BOUNDS.finish_s * 1000, lastReportMs + 3000)) {
        broken.push(`job ${report}: its second step has not run ${Math.round(judgedAtMs - lastReportMs)} ms after its first one`);
    }
    const lastServiceMs = Math.max(...runs.filter(run => run.task.startsWith(service)).map(run => run.endedAtMs ?? judgedAtMs));
    if (judgedAtMs - lastServiceMs > LASTING_GAP_MS) {
        broken.push(`job ${service}: its task that lasts has not run for ${Math.round(judgedAtMs - lastServiceMs)} ms`);
    }
    return broken;
});
