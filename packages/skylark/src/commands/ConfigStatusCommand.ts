import { Command } from "clipanion";
import type { OperatorsClient } from "../client/OperatorsClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderConfigStatus } from "../output/ConfigStatusText.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the version in force per failure domain and process. */
export class ConfigStatusCommand extends ServerCommand {
    public static override readonly paths = [["config", "status"]];
    public static override readonly usage = Command.Usage({
        description: "Print the version in force per failure domain and process"
    });

    protected async run(client: OperatorsClient): Promise<ExitCode> {
        const status = await client.readConfigStatus();
        if (status.isErr()) {
            return this.fail(status.error);
        }
        this.printData(status.value, () => renderConfigStatus(status.value));
        const missing = status.value.processes.filter(({ reached }) => !reached);
        this.printNotReached(missing.map(({ processId }) => processId));
        return ExitCode.Ok;
    }
}
