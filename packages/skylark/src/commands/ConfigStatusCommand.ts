import { Command } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderConfigStatus } from "../output/ConfigStatusText.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the configuration version that each failure domain and process uses. */
export class ConfigStatusCommand extends ServerCommand {
    public static override readonly paths = [["config", "status"]];
    public static override readonly usage = Command.Usage({
        description: "Print the version in force per failure domain and process"
    });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const status = await client.readConfigStatus();
        if (status.isErr()) {
            return this.reportFailure(status.error);
        }
        this.printData(status.value, () => renderConfigStatus(status.value));
        const unreachable = status.value.processes.filter(({ reached }) => !reached);
        this.printNotReached(unreachable.map(({ processId }) => processId));
        return ExitCode.Ok;
    }
}
