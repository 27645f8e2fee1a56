import { writeFileSync } from "node:fs";
import { measureCallCosts } from "./callCosts.js";
import { compareLookupPlacements } from "./lookupComparison.js";
import { measureMemory } from "./memoryUse.js";
import { type MeasuredRow, printTable } from "./report.js";
import { compareTaskSchedulers, measureFutureSlice } from "./taskComparison.js";
import { measureScale } from "./taskScale.js";

const DEFAULT_REPORT_PATH = "packages/bench/out/decisions/report.json";

const sections: readonly (readonly [string, () => readonly MeasuredRow[]])[] = [
    ["Size of a slice of the future", measureScale],
    ["Waiting, packing and shares of a slice of the future", measureFutureSlice],
    ["Cost of other calls", measureCallCosts],
    ["Memory", measureMemory],
    ["Look-ups of one failure domain", compareLookupPlacements],
    ["Tasks of today", compareTaskSchedulers]
];

const report: Record<string, readonly MeasuredRow[]> = {};
for (const [title, measure] of sections) {
    report[title] = measure();
    printTable(title, report[title]);
}
writeFileSync(process.argv[2] ?? DEFAULT_REPORT_PATH, JSON.stringify(report, undefined, 4));
