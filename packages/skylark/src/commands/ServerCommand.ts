import { escapeControlCharacters } from "@skylarkpath/text/ControlCharacters";
import { Command, Option } from "clipanion";
import { Agent } from "undici";
import { findConnection } from "../client/Connection.js";
import { HttpOperatorsClient } from "../client/HttpOperatorsClient.js";
import type { OperatorsClient } from "../client/OperatorsClient.js";
import { type OperatorsError, OperatorsErrorKind } from "../client/OperatorsError.js";
import { ServerCaller } from "../client/ServerCaller.js";
import type { CommandContext } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";

const CONNECT_TIMEOUT_MS = 3_000;
const CALL_TIMEOUT_MS = 20_000;
const JSON_INDENT = 4;

const EXIT_CODES: Readonly<Record<OperatorsErrorKind, ExitCode>> = {
    [OperatorsErrorKind.NotReachable]: ExitCode.NotReachable,
    [OperatorsErrorKind.Unavailable]: ExitCode.NotReachable,
    [OperatorsErrorKind.ReplyLost]: ExitCode.OutcomeUnknown,
    [OperatorsErrorKind.Refused]: ExitCode.Refused,
    [OperatorsErrorKind.Conflict]: ExitCode.Conflict
};

/** Command that calls the operators' interface. */
export abstract class ServerCommand extends Command<CommandContext> {
    public readonly servers = Option.Array("--server", [], {
        description: "URL of the operators' interface; several are tried in turn"
    });
    public readonly keyFile = Option.String("--key-file", { description: "File with the operator key" });
    public readonly json = Option.Boolean("--json", false, { description: "Print JSON" });

    /** Runs the command with a client of the servers that the call names. */
    public async execute(): Promise<number> {
        const connection = await findConnection(this.context, this.servers, this.keyFile);
        if (connection.isErr()) {
            this.printError(connection.error);
            return ExitCode.WrongCall;
        }
        const { servers, operatorKey } = connection.value;
        const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
        try {
            const caller = new ServerCaller(servers, operatorKey, dispatcher, CALL_TIMEOUT_MS);
            return await this.run(new HttpOperatorsClient(caller));
        }
        finally {
            await dispatcher.close();
        }
    }

    /** Runs the command and returns its exit code. */
    protected abstract run(client: OperatorsClient): Promise<ExitCode>;

    /** Prints lines of the command's result; nothing for an empty text. */
    protected printText(text: string): void {
        this.context.stdout.write(text === "" ? "" : `${text}\n`);
    }

    /** Prints the data as JSON or as text, as the call asks. */
    protected printData(data: object, renderText: () => string): void {
        if (this.json) {
            this.printJson(data);
        }
        else {
            this.printText(renderText());
        }
    }

    /** Prints the data as JSON. */
    protected printJson(data: object): void {
        this.printText(JSON.stringify(data, undefined, JSON_INDENT));
    }

    /** Prints what went wrong. */
    protected printError(message: string): void {
        this.context.stderr.write(`skylark: ${escapeControlCharacters(message)}\n`);
    }

    /** Prints why a call failed and returns the exit code for it. */
    protected fail(error: OperatorsError): ExitCode {
        this.printError(error.message);
        return EXIT_CODES[error.kind];
    }

    /** Prints which processes did not answer. */
    protected printNotReached(processIds: readonly string[]): void {
        if (processIds.length > 0) {
            this.printError(`not reached: ${processIds.join(", ")}`);
        }
    }
}
