import { parseArgs } from "node:util";
import { HistoryBatch } from "./HistoryBatch.js";

const { values } = parseArgs({
    options: {
        from: { type: "string", default: "1" },
        count: { type: "string", default: "100" },
        trace: { type: "boolean", default: false },
        shrink: { type: "boolean", default: false }
    }
});
const batch = new HistoryBatch({ trace: values.trace, shrink: values.shrink, write: line => console.log(line) });
const violatingCount = await batch.run(Number(values.from), Number(values.count));
process.exitCode = violatingCount > 0 ? 1 : 0;
