import { Command } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderTable } from "../output/Table.js";
import { renderTime } from "../output/Time.js";
import { ServerCommand } from "./ServerCommand.js";

/** Lists the keys without their secrets. */
export class KeyListCommand extends ServerCommand {
    public static override readonly paths = [["key", "list"]];
    public static override readonly usage = Command.Usage({ description: "List the keys without their secrets" });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const reply = await client.listKeys();
        if (reply.isErr()) {
            return this.reportFailure(reply.error);
        }
        const rows = reply.value.keys.map(({ keyId, team, grantedAtMs, withdrawn }) => [
            keyId,
            team,
            renderTime(grantedAtMs),
            withdrawn
        ]);
        this.printData(reply.value, () => renderTable(["key id", "team", "granted", "withdrawn"], rows));
        return ExitCode.Ok;
    }
}
