import { FleetHistory, type HistoryOptions } from "./FleetHistory.js";

const CRASHING_SHARE = 0.04;
const [first = "1", count = "100", variant] = process.argv.slice(2);
const OPTIONS: Readonly<Record<string, HistoryOptions>> = {
    permits: { permits: true },
    restarts: { unlistedRestarts: true }
};
const options = OPTIONS[variant ?? ""] ?? { crashingShare: CRASHING_SHARE };
let broken = 0;
let accepted = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
    const result = await new FleetHistory(seed, options).run();
    accepted += result.accepted;
    if (result.violations.length > 0) {
        broken++;
        process.stdout.write(`seed ${seed}: ${result.violations.slice(0, 3).join("; ")}\n`);
    }
}
process.stdout.write(`${count} histories from seed ${first}: ${broken} with a violation, ${accepted} jobs accepted\n`);
process.exitCode = broken > 0 ? 1 : 0;
