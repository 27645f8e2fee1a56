import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";
import { Command, Option } from "clipanion";
import { Agent } from "undici";
import { FailoverCaller } from "../client/FailoverCaller.js";
import { HttpOperatorApiClient } from "../client/HttpOperatorApiClient.js";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { type OperatorApiError, OperatorApiErrorKind } from "../client/OperatorApiError.js";
import { resolveServerAccess } from "../client/ServerAccess.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";

const CONNECT_TIMEOUT_MS = 3_000;
const CALL_TIMEOUT_MS = 20_000;
const JSON_INDENT = 4;

const EXIT_CODE_BY_ERROR_KIND: Readonly<Record<OperatorApiErrorKind, ExitCode>> = {
    [OperatorApiErrorKind.NotReachable]: ExitCode.NotReachable,
    [OperatorApiErrorKind.Unavailable]: ExitCode.NotReachable,
    [OperatorApiErrorKind.ReplyLost]: ExitCode.OutcomeUnknown,
    [OperatorApiErrorKind.Refused]: ExitCode.Refused,
    [OperatorApiErrorKind.Conflict]: ExitCode.Conflict
};

/** Base class of commands that call the operators' API. */
export abstract class ServerCommand extends Command<CommandContext> {
    public readonly servers = Option.Array("--server", [], {
        description: "URL of the operators' interface; several are tried in turn"
    });
    public readonly keyFile = Option.String("--key-file", { description: "File with the operator key" });
    public readonly json = Option.Boolean("--json", false, { description: "Print JSON" });

    /** Runs the command with a client for the servers given by the options or the environment. */
    public async execute(): Promise<number> {
        const access = await resolveServerAccess(this.context, this.servers, this.keyFile);
        if (access.isErr()) {
            this.printError(access.error);
            return ExitCode.UsageError;
        }
        const { servers, operatorKey } = access.value;
        const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
        try {
            const caller = new FailoverCaller(servers, operatorKey, dispatcher, CALL_TIMEOUT_MS);
            return await this.run(new HttpOperatorApiClient(caller));
        }
        finally {
            await dispatcher.close();
        }
    }

    /** Runs the command and returns its exit code. */
    protected abstract run(client: OperatorApiClient): Promise<ExitCode>;

    /** Prints the result of the command, followed by a line break unless it is empty. */
    protected printText(text: string): void {
        this.context.stdout.write(text === "" ? "" : `${text}\n`);
    }

    /** Prints the data as JSON if `--json` is given, otherwise as text. */
    protected printData(data: object, renderText: () => string): void {
        if (this.json) {
            this.printJson(data);
        }
        else {
            this.printText(renderText());
        }
    }

    /** Prints the data as indented JSON. */
    protected printJson(data: object): void {
        this.printText(JSON.stringify(data, undefined, JSON_INDENT));
    }

    /** Prints an error message to the standard error. */
    protected printError(message: string): void {
        this.context.stderr.write(`skylark: ${escapeControlCharacters(message)}\n`);
    }

    /** Prints why a call failed and returns the matching exit code. */
    protected reportFailure(error: OperatorApiError): ExitCode {
        this.printError(error.message);
        return EXIT_CODE_BY_ERROR_KIND[error.kind];
    }

    /** Prints the processes that did not answer, if any, to the standard error. */
    protected printNotReached(processIds: readonly string[]): void {
        if (processIds.length > 0) {
            this.printError(`not reached: ${processIds.join(", ")}`);
        }
    }
}
