import { Command } from "clipanion";
import type { OperatorsClient } from "../client/OperatorsClient.js";
import { ExitCode } from "../ExitCode.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the text in force. */
export class ConfigShowCommand extends ServerCommand {
    public static override readonly paths = [["config", "show"]];
    public static override readonly usage = Command.Usage({ description: "Print the text in force" });

    protected async run(client: OperatorsClient): Promise<ExitCode> {
        const config = await client.readConfig();
        if (config.isErr()) {
            return this.fail(config.error);
        }
        const { version, text } = config.value;
        this.printData(config.value, () => `# version ${version}\n${text.trimEnd()}`);
        return ExitCode.Ok;
    }
}
