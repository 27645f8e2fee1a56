import { runAcceptLatency } from "./AcceptLatencyTrial.js";
import { percentile } from "./Percentiles.js";
import { composeTable } from "./Table.js";
import { runTakeOver, type TakeOverTimes } from "./TakeOverTrial.js";
import { runWriteCost } from "./WriteCostTrial.js";

const TRIALS = 20;
const KILL_STEP_MS = 37;
const THOUSAND = 1000;
const STORE_DELAYS_MS = [10, 50, 500];
const ACCEPT_RATES = [20, 200, 2000];
const JOB_RATES = [100, 500, 2000];

async function measureTakeOvers(): Promise<void> {
    const times: TakeOverTimes[] = [];
    for (let trial = 1; trial <= TRIALS; trial++) {
        times.push(await runTakeOver(trial, THOUSAND + trial * KILL_STEP_MS));
    }
    const rowOf = (name: string, values: readonly number[]): readonly (string | number)[] => [
        name,
        percentile(values, 0),
        percentile(values, 0.5),
        percentile(values, 1)
    ];
    const title =
        `Owner killed under load, ${TRIALS} trials (seeds 1 to ${TRIALS}), store delay 10 ms, virtual time in ms`;
    const rows = [
        rowOf("successor owns the slice", times.map(time => time.acquiredMs)),
        rowOf("first start under the new epoch", times.map(time => time.firstStartMs))
    ];
    console.log(composeTable(title, ["", "least", "median", "most"], rows));
    const failed = times.reduce((sum, time) => sum + time.lookupsFailed, 0);
    const all = times.reduce((sum, time) => sum + time.lookups, 0);
    console.log(`\nLook-ups at an entry of another failure domain meanwhile: ${all}, without an answer: ${failed}`);
}

async function measureWriteCosts(): Promise<void> {
    const rows = [];
    for (const rate of JOB_RATES) {
        const cost = await runWriteCost(rate, 10);
        const perThousand = (count: number): number => Math.round(cost.transactions * THOUSAND / count);
        rows.push([
            rate,
            cost.accepted,
            cost.starts,
            cost.transactions,
            perThousand(cost.accepted),
            perThousand(cost.starts)
        ]);
    }
    const head = ["jobs/s", "accepted", "starts", "transactions", "per 1,000 accepted", "per 1,000 starts"];
    console.log(composeTable("Transactions of the whole deployment, store delay 10 ms, virtual time", head, rows));
}

async function measureLatencies(): Promise<void> {
    const rows = [];
    for (const delayMs of STORE_DELAYS_MS) {
        for (const rate of ACCEPT_RATES) {
            const { latenciesMs, meanBatch, refused } = await runAcceptLatency(rate, delayMs);
            const [half, most] = [percentile(latenciesMs, 0.5), percentile(latenciesMs, 0.99)];
            rows.push([delayMs, rate, meanBatch.toFixed(1), half.toFixed(1), most.toFixed(1), refused]);
        }
    }
    const head = ["store delay ms", "writes/s", "mean batch", "median ms", "99 % ms", "refused"];
    console.log(composeTable("Acceptance through one group-commit writer, virtual time", head, rows));
}

await measureTakeOvers();
await measureWriteCosts();
await measureLatencies();
