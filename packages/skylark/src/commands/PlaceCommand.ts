import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";
import { Command, Option } from "clipanion";
import { Agent } from "undici";
import { PreviewClient } from "../client/PreviewClient.js";
import { resolveServers } from "../client/ServerAccess.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { renderPreview } from "../output/PreviewText.js";

const CONNECT_TIMEOUT_MS = 3_000;
const CALL_TIMEOUT_MS = 20_000;
const JSON_INDENT = 4;

/** Tells where a job would go now and why, without submitting it. */
export class PlaceCommand extends Command<CommandContext> {
    public static override readonly paths = [["place"]];
    public static override readonly usage = Command.Usage({
        description: "Tell where a job would go now and why, without sending it",
        details: "FILE holds the job as a caller would submit it. The servers are fleet processes, with their addresses"
            + " for other processes; each names the owner, which answers.",
        examples: [["Preview", "skylark place job.json --queue lookups --team lab --server http://10.0.0.1:7420"]]
    });

    public readonly file = Option.String({ name: "FILE" });
    public readonly queue = Option.String("--queue", { required: true, description: "Queue of the job" });
    public readonly team = Option.String("--team", "", { description: "Team of the job; none for an open queue" });
    public readonly servers = Option.Array("--server", [], {
        description: "URL of a process; several are tried in turn"
    });
    public readonly json = Option.Boolean("--json", false, { description: "Print JSON" });

    /** Prints the preview. */
    public async execute(): Promise<number> {
        const servers = resolveServers(this.context, this.servers);
        if (servers.isErr()) {
            return this.fail(servers.error, ExitCode.UsageError);
        }
        const job = await this.context.readTextFile(this.file);
        if (job.isErr()) {
            return this.fail(job.error, ExitCode.UsageError);
        }
        const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
        try {
            const client = new PreviewClient(dispatcher, CALL_TIMEOUT_MS);
            const preview = await client.preview(servers.value, job.value, this.queue, this.team);
            if (preview.isErr()) {
                const { refused, message } = preview.error;
                return this.fail(message, refused ? ExitCode.Refused : ExitCode.NotReachable);
            }
            const text = this.json
                ? JSON.stringify(preview.value, undefined, JSON_INDENT)
                : renderPreview(preview.value);
            this.context.stdout.write(`${text}\n`);
            return ExitCode.Ok;
        }
        finally {
            await dispatcher.close();
        }
    }

    private fail(message: string, exitCode: ExitCode): ExitCode {
        this.context.stderr.write(`skylark: ${escapeControlCharacters(message)}\n`);
        return exitCode;
    }
}
