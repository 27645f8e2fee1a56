import { Command, Option } from "clipanion";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { OperatorApiErrorKind } from "../client/OperatorApiError.js";
import { ExitCode } from "../ExitCode.js";
import { ServerCommand } from "./ServerCommand.js";

/** Withdraws a key and lists the processes that have not acknowledged it yet. */
export class KeyWithdrawCommand extends ServerCommand {
    public static override readonly paths = [["key", "withdraw"]];
    public static override readonly usage = Command.Usage({ description: "Withdraw a key" });

    public readonly keyId = Option.String({ name: "KEY_ID" });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const withdrawn = await client.withdrawKey(this.keyId);
        if (withdrawn.isErr()) {
            if (withdrawn.error.kind === OperatorApiErrorKind.ReplyLost) {
                this.printError("the withdrawal may not have taken effect; repeat it");
            }
            return this.reportFailure(withdrawn.error);
        }
        const { complete, missing } = withdrawn.value;
        this.printData(
            withdrawn.value,
            () => `${this.keyId} ${complete ? "withdrawn" : "not withdrawn everywhere yet"}`
        );
        if (!complete) {
            this.printError(`not acknowledged by: ${missing.join(", ")}`);
        }
        return complete ? ExitCode.Ok : ExitCode.Incomplete;
    }
}
