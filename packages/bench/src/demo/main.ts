import { HistoryChecker } from "@skylarkpath/proof/rules/HistoryChecker";
import { renderDemo } from "./DemoReport.js";
import { DemoRun } from "./DemoRun.js";
import { AARWALD_DEMO, KALLIO_DEMO } from "./DemoTraffic.js";

const SEED = 7;
const MILLISECONDS_PER_SECOND = 1000;
let violationCount = 0;

console.log("Both deployments run on embedded stand-ins and a virtual clock.");
for (const definition of [AARWALD_DEMO, KALLIO_DEMO]) {
    console.log(`\n${definition.name} (seed ${SEED})`);
    const run = new DemoRun(definition, SEED, (atMs, line) => {
        console.log(`${(atMs / MILLISECONDS_PER_SECOND).toFixed(1).padStart(8)} s  ${line}`);
    });
    const result = await run.run();
    console.log(`\n${renderDemo(result)}`);
    const violations = new HistoryChecker().check(result.history);
    for (const { rule, atMs, message } of violations) {
        console.log(`broken promise: ${rule} at ${atMs.toFixed(0)} ms: ${message}`);
    }
    violationCount += violations.length;
}
console.log(violationCount === 0 ? "All promises were kept." : `${violationCount} promises were broken.`);
process.exit(violationCount === 0 ? 0 : 1);
