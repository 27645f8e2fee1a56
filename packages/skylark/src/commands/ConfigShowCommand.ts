import { Command } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the current configuration text exactly as it was applied, so that it can be edited and applied again. */
export class ConfigShowCommand extends ServerCommand {
    public static override readonly paths = [["config", "show"]];
    public static override readonly usage = Command.Usage({
        description: "Print the text in force; its version goes to the standard error"
    });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const config = await client.readConfig();
        if (config.isErr()) {
            return this.reportFailure(config.error);
        }
        if (this.json) {
            this.printJson(config.value);
            return ExitCode.Ok;
        }
        this.context.stdout.write(config.value.text);
        this.context.stderr.write(`version ${config.value.version}\n`);
        return ExitCode.Ok;
    }
}
