import { parseArgs } from "node:util";
import { HistoryChecker } from "../rules/HistoryChecker.js";
import { describeViolation, summarizeViolation } from "./HistoryReport.js";
import { HistoryRun } from "./HistoryRun.js";
import { composeScript } from "./ScriptComposer.js";

const { values } = parseArgs({
    options: {
        from: { type: "string", default: "1" },
        count: { type: "string", default: "100" },
        trace: { type: "boolean", default: false }
    }
});
const first = Number(values.from);
const count = Number(values.count);
const checker = new HistoryChecker();
const countsByRule = new Map<string, number>();
let violating = 0;
for (let seed = first; seed < first + count; seed++) {
    const history = await new HistoryRun(composeScript(seed)).run();
    const violations = checker.check(history);
    violating += violations.length > 0 ? 1 : 0;
    for (const violation of violations) {
        countsByRule.set(violation.rule, (countsByRule.get(violation.rule) ?? 0) + 1);
    }
    for (const violation of violations) {
        const text = values.trace ? describeViolation(history, violation) : summarizeViolation(violation);
        console.log(`seed ${seed}: ${text}`);
    }
}
console.log(`seeds ${first} to ${first + count - 1}: ${count} histories, ${violating} with violations`);
console.log([...countsByRule].map(([rule, total]) => `${rule}: ${total}`).join("\n"));
process.exitCode = violating > 0 ? 1 : 0;
