import { Command, Option } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { OperatorApiErrorKind } from "../client/OperatorApiError.js";
import { ExitCode } from "../ExitCode.js";
import { renderTable } from "../output/Table.js";
import { ServerCommand } from "./ServerCommand.js";

/** Grants a key to a team and prints it; it can't be shown again later. */
export class KeyGrantCommand extends ServerCommand {
    public static override readonly paths = [["key", "grant"]];
    public static override readonly usage = Command.Usage({ description: "Grant a key to a team and print it" });

    public readonly team = Option.String({ name: "TEAM" });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const granted = await client.grantKey(this.team);
        if (granted.isErr()) {
            if (granted.error.kind === OperatorApiErrorKind.ReplyLost) {
                this.printError("a key may have been granted; see skylark key list and withdraw it");
            }
            return this.reportFailure(granted.error);
        }
        const { keyId, team, key } = granted.value;
        this.printData(granted.value, () => renderTable(["key id", "team", "key"], [[keyId, team, key]]));
        return ExitCode.Ok;
    }
}
