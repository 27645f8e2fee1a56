import { writeFileSync } from "node:fs";
import { type MeasuredRow, printTable } from "./report.js";
import { compareTasks } from "./taskComparison.js";
import { measureScale } from "./taskScale.js";

const DEFAULT_REPORT_PATH = "packages/bench/out/decisions/report.json";

const sections: readonly (readonly [string, () => readonly MeasuredRow[]])[] = [
    ["Size of a slice of the future", measureScale],
    ["Tasks of today", compareTasks]
];

const report: Record<string, readonly MeasuredRow[]> = {};
for (const [title, measure] of sections) {
    report[title] = measure();
    printTable(title, report[title]);
}
writeFileSync(process.argv[2] ?? DEFAULT_REPORT_PATH, JSON.stringify(report, undefined, 4));
