import { Command, Option } from "clipanion";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { readLogLines, renderLogLines, selectRequestLines } from "../logs/LogLines.js";

/** Prints the history of a request from log files, without a server. */
export class LogExplainCommand extends Command<CommandContext> {
    public static override readonly paths = [["log", "explain"]];
    public static override readonly usage = Command.Usage({
        description: "Tell from log files what became of a request",
        examples: [["Explain a job", "skylark log explain 5c0e7a21d94b36f8 all.log"]]
    });

    public readonly requestId = Option.String({ name: "REQUEST_ID" });
    public readonly files = Option.Rest({ name: "FILE", required: 1 });
    public readonly json = Option.Boolean("--json", false, { description: "Print JSON" });

    /** Prints the events of the request from all files in chronological order. */
    public async execute(): Promise<number> {
        const texts: string[] = [];
        for (const file of this.files) {
            const text = await this.context.readTextFile(file);
            if (text.isErr()) {
                this.context.stderr.write(`skylark: ${text.error}\n`);
                return ExitCode.UsageError;
            }
            texts.push(text.value);
        }
        const found = selectRequestLines(readLogLines(texts), this.requestId);
        if (found.length === 0) {
            this.context.stderr.write(`skylark: no event names ${this.requestId}\n`);
            return ExitCode.Refused;
        }
        this.context.stdout.write(`${this.json ? JSON.stringify(found) : renderLogLines(found)}\n`);
        return ExitCode.Ok;
    }
}
