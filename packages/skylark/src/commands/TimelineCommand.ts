import { parseDurationMs } from "@skylarkpath/text/Units";
import { Command, Option } from "clipanion";
import { ok, type Result } from "neverthrow";
import type { OperatorApiClient, TimelineQuery } from "../client/OperatorApiClient.js";
import { ExitCode } from "../ExitCode.js";
import { renderTimeline } from "../output/TimelineText.js";
import { createTrace } from "../output/Trace.js";
import { ServerCommand } from "./ServerCommand.js";

enum TimelineFormat {
    Text = "text",
    Trace = "trace"
}

/** Prints the events of all reachable processes in causal order. */
export class TimelineCommand extends ServerCommand {
    public static override readonly paths = [["timeline"]];
    public static override readonly usage = Command.Usage({
        description: "Print the events of all reachable processes in causal order"
    });

    public readonly requestId = Option.String("--request", { description: "Only events of this request" });
    public readonly since = Option.String("--since", { description: "Only events of this last stretch, such as 10m" });
    public readonly format = Option.String("--format", TimelineFormat.Text, {
        description: "text, or trace for the Chrome trace-event form"
    });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        if (this.format !== TimelineFormat.Text && this.format !== TimelineFormat.Trace) {
            this.printError(`--format must be text or trace, found ${JSON.stringify(this.format)}`);
            return ExitCode.UsageError;
        }
        const query = this.readQuery();
        if (query.isErr()) {
            this.printError(`--since: ${query.error}`);
            return ExitCode.UsageError;
        }
        const timeline = await client.readTimeline(query.value);
        if (timeline.isErr()) {
            return this.reportFailure(timeline.error);
        }
        if (this.format === TimelineFormat.Trace) {
            this.printText(JSON.stringify(createTrace(timeline.value)));
        }
        else {
            this.printData(timeline.value, () => renderTimeline(timeline.value));
        }
        this.printNotReached(timeline.value.notReached);
        return ExitCode.Ok;
    }

    private readQuery(): Result<TimelineQuery, string> {
        const request = this.requestId === undefined ? {} : { requestId: this.requestId };
        if (this.since === undefined) {
            return ok(request);
        }
        return parseDurationMs(this.since).map(sinceMs => ({ ...request, sinceMs }));
    }
}
