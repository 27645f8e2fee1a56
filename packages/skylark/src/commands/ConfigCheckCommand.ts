import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { Command, Option } from "clipanion";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { renderFindings } from "../output/FindingsText.js";

/** Checks a configuration text locally, without a server. */
export class ConfigCheckCommand extends Command<CommandContext> {
    public static override readonly paths = [["config", "check"]];
    public static override readonly usage = Command.Usage({ description: "Print every finding of a text" });

    public readonly file = Option.String({ name: "FILE" });
    public readonly json = Option.Boolean("--json", false, { description: "Print JSON" });

    /** Prints the findings, or `ok` when there are none. */
    public async execute(): Promise<number> {
        const text = await this.context.readTextFile(this.file);
        if (text.isErr()) {
            this.context.stderr.write(`skylark: ${text.error}\n`);
            return ExitCode.UsageError;
        }
        const findings = parseClusterConfig(text.value).match(() => [], found => found);
        if (this.json) {
            this.context.stdout.write(`${JSON.stringify({ file: this.file, findings })}\n`);
        }
        else {
            this.context.stdout.write(findings.length > 0 ? `${renderFindings(this.file, findings)}\n` : "ok\n");
        }
        return findings.length > 0 ? ExitCode.Refused : ExitCode.Ok;
    }
}
