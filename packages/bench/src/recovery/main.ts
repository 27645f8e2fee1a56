import { runAcceptLatency } from "./AcceptLatencyTrial.js";
import { percentile } from "./Percentiles.js";
import { renderMarkdownTable } from "./Table.js";
import { runTakeOver, type TakeOverTimes } from "./TakeOverTrial.js";
import { runWriteCost } from "./WriteCostTrial.js";

const TRIALS = 20;
const KILL_DELAY_STEP_MS = 37;
const THOUSAND = 1000;
const STORE_DELAYS_MS = [10, 50, 500];
const ACCEPT_RATES = [20, 200, 2000];
const JOB_RATES = [100, 500, 2000];

async function measureTakeOvers(): Promise<void> {
    const times: TakeOverTimes[] = [];
    for (let trial = 1; trial <= TRIALS; trial++) {
        times.push(await runTakeOver(trial, THOUSAND + trial * KILL_DELAY_STEP_MS));
    }
    const summaryRow = (name: string, values: readonly number[]): readonly (string | number)[] => [
        name,
        percentile(values, 0),
        percentile(values, 0.5),
        percentile(values, 1)
    ];
    const title =
        `Owner killed under load, ${TRIALS} trials (seeds 1 to ${TRIALS}), store delay 10 ms, virtual time in ms`;
    const rows = [
        summaryRow("successor owns the slice", times.map(time => time.acquiredMs)),
        summaryRow("first start under the new epoch", times.map(time => time.firstStartMs))
    ];
    console.log(renderMarkdownTable(title, ["", "least", "median", "most"], rows));
    const failed = times.reduce((sum, time) => sum + time.lookupsFailed, 0);
    const total = times.reduce((sum, time) => sum + time.lookups, 0);
    console.log(`\nLook-ups at an entry of another failure domain meanwhile: ${total}, without an answer: ${failed}`);
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
    const header = ["jobs/s", "accepted", "starts", "transactions", "per 1,000 accepted", "per 1,000 starts"];
    console.log(
        renderMarkdownTable("Transactions of the whole deployment, store delay 10 ms, virtual time", header, rows)
    );
}

async function measureLatencies(): Promise<void> {
    const rows = [];
    for (const delayMs of STORE_DELAYS_MS) {
        for (const rate of ACCEPT_RATES) {
            const { latenciesMs, meanBatchSize, refused } = await runAcceptLatency(rate, delayMs);
            const [medianMs, p99Ms] = [percentile(latenciesMs, 0.5), percentile(latenciesMs, 0.99)];
            rows.push([delayMs, rate, meanBatchSize.toFixed(1), medianMs.toFixed(1), p99Ms.toFixed(1), refused]);
        }
    }
    const header = ["store delay ms", "writes/s", "mean batch", "median ms", "99 % ms", "refused"];
    console.log(renderMarkdownTable("Acceptance through one group-commit writer, virtual time", header, rows));
}

await measureTakeOvers();
await measureWriteCosts();
await measureLatencies();
