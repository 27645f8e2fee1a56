import { Command, Option } from "clipanion";
import type { ExplainReply, OperatorApiClient } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderTable } from "../output/Table.js";
import { ServerCommand } from "./ServerCommand.js";

/** Prints the state of a request and, while it waits, the reason. */
export class ExplainCommand extends ServerCommand {
    public static override readonly paths = [["explain"]];
    public static override readonly usage = Command.Usage({ description: "Tell why a request waits" });

    public readonly requestId = Option.String({ name: "REQUEST_ID" });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        const explained = await client.explain(this.requestId);
        if (explained.isErr()) {
            return this.reportFailure(explained.error);
        }
        this.printData(explained.value, () => renderExplanation(explained.value));
        return ExitCode.Ok;
    }
}

function renderExplanation({ requestId, state, waiting }: ExplainReply): string {
    const headers = ["request", "state", ...(waiting === undefined ? [] : ["waits for", "detail"])];
    const row = [requestId, state, ...(waiting === undefined ? [] : [waiting.cause, waiting.detail])];
    return renderTable(headers, [row]);
}
