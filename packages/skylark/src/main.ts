import { err, ok, type Result } from "neverthrow";
import { readFile } from "node:fs/promises";
import { runSkylark } from "./SkylarkCli.js";

const COLOR_DEPTH = 1;

async function readTextFile(path: string): Promise<Result<string, string>> {
    try {
        return ok(await readFile(path, "utf8"));
    }
    catch (error) {
        return err(`${path} can't be read: ${error instanceof Error ? error.message : String(error)}`);
    }
}

/** Exits without an error when the reader of the output closes the pipe, as `head` does. */
function exitOnClosedOutput(error: NodeJS.ErrnoException): void {
    if (error.code !== "EPIPE") {
        throw error;
    }
    process.exit();
}

process.stdout.on("error", exitOnClosedOutput);
process.exitCode = await runSkylark(process.argv.slice(2), {
    env: process.env,
    stdin: process.stdin,
    stdout: process.stdout,
    stderr: process.stderr,
    colorDepth: COLOR_DEPTH,
    readTextFile
});
