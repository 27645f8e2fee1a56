import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { readdirSync, readFileSync } from "node:fs";

const examplesFolder = new URL("../examples/", import.meta.url);
const fileNames = readdirSync(examplesFolder).filter(fileName => fileName.endsWith(".toml")).sort();
let findingCount = 0;
for (const fileName of fileNames) {
    const result = parseClusterConfig(readFileSync(new URL(fileName, examplesFolder), "utf8"));
    const findings = result.isErr() ? result.error : [];
    for (const { position, message } of findings) {
        console.error(`examples/${fileName}:${position.line}:${position.column}: ${message}`);
    }
    findingCount += findings.length;
}
if (fileNames.length === 0) {
    console.error("examples: no texts found");
}
console.log(`${fileNames.length} example texts, ${findingCount} findings`);
process.exitCode = fileNames.length === 0 || findingCount > 0 ? 1 : 0;
