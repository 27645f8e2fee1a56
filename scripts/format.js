import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const EXCLUDED_FOLDERS = new Set(["node_modules", "out", "target", "journal", ".git"]);
const FORMATTED_FILE = /\.(ts|js)$/;
const root = fileURLToPath(new URL("..", import.meta.url));

function* findFiles(folder) {
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory() && !EXCLUDED_FOLDERS.has(entry.name)) {
            yield* findFiles(path);
        }
        else if (entry.isFile() && FORMATTED_FILE.test(entry.name)) {
            yield path;
        }
    }
}

const { typescript, ...globalOptions } = JSON.parse(readFileSync(join(root, "dprint.json"), "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(globalOptions, typescript);
const isCheck = process.argv.includes("--check");
let unformattedCount = 0;
for (const filePath of findFiles(root)) {
    const fileText = readFileSync(filePath, "utf8");
    const formattedText = formatter.formatText({ filePath, fileText });
    if (formattedText === fileText) {
        continue;
    }
    unformattedCount++;
    if (isCheck) {
        console.error(`not formatted: ${filePath.slice(root.length)}`);
    }
    else {
        writeFileSync(filePath, formattedText);
    }
}
console.log(`${unformattedCount} files ${isCheck ? "need formatting" : "formatted"}`);
process.exitCode = isCheck && unformattedCount > 0 ? 1 : 0;
