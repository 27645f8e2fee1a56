import { Command } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderStatus } from "../output/StatusText.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the state of processes, slices, teams and services. */
export class StatusCommand extends ServerCommand {
    public static override readonly paths = [["status"]];
    public static override readonly usage = Command.Usage({
        description: "Print the state of processes, slices, teams and services"
    });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const status = await client.readStatus();
        if (status.isErr()) {
            return this.reportFailure(status.error);
        }
        this.printData(status.value, () => renderStatus(status.value));
        this.printNotReached(status.value.notReached);
        return ExitCode.Ok;
    }
}
