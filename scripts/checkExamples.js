import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { readdirSync, readFileSync } from "node:fs";

const folder = new URL("../examples/", import.meta.url);
const names = readdirSync(folder).filter(name => name.endsWith(".toml")).sort();
let findingCount = 0;
for (const name of names) {
    const result = parseClusterConfig(readFileSync(new URL(name, folder), "utf8"));
    const findings = result.isErr() ? result.error : [];
    for (const { position, message } of findings) {
        console.error(`examples/${name}:${position.line}:${position.column}: ${message}`);
    }
    findingCount += findings.length;
}
if (names.length === 0) {
    console.error("examples: no texts found");
}
console.log(`${names.length} example texts, ${findingCount} findings`);
process.exitCode = names.length === 0 || findingCount > 0 ? 1 : 0;
