import { writeFileSync } from "node:fs";
import { measureCalls } from "./callCosts.js";
import { compareLookups } from "./lookupComparison.js";
import { measureMemory } from "./memoryUse.js";
import { type MeasuredRow, printTable } from "./report.js";
import { compareTasks, runFuture } from "./taskComparison.js";
import { measureScale } from "./taskScale.js";

const DEFAULT_REPORT_PATH = "packages/bench/out/decisions/report.json";

const sections: readonly (readonly [string, () => readonly MeasuredRow[]])[] = [
    ["Size of a slice of the future", measureScale],
    ["Waiting, packing and shares of a slice of the future", runFuture],
    ["Cost of other calls", measureCalls],
    ["Memory", measureMemory],
    ["Look-ups of one failure domain", compareLookups],
    ["Tasks of today", compareTasks]
];

const report: Record<string, readonly MeasuredRow[]> = {};
for (const [title, measure] of sections) {
    report[title] = measure();
    printTable(title, report[title]);
}
writeFileSync(process.argv[2] ?? DEFAULT_REPORT_PATH, JSON.stringify(report, undefined, 4));
