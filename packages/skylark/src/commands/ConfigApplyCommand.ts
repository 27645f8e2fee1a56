import type { Finding } from "@skylarkpath/common/base/Finding";
import type { VersionedConfigText } from "@skylarkpath/common/model/ClusterConfig";
import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import { renderLineDiff } from "@skylarkpath/text/LineDiff";
import { Command, Option } from "clipanion";
import { err, ok, type Result } from "neverthrow";
import type { OperatorApiClient } from "../client/OperatorApiClient.js";
import { type OperatorApiError, OperatorApiErrorKind } from "../client/OperatorApiError.js";
import { ExitCode } from "../ExitCode.js";
import { renderFindings } from "../output/FindingsText.js";
import { ServerCommand } from "./ServerCommand.js";

const VERSION = /^\d{1,15}$/;
const STATUS_NOT_FOUND = 404;

/** Applies a configuration text if the version that it was edited from is still the current one. */
export class ConfigApplyCommand extends ServerCommand {
    public static override readonly paths = [["config", "apply"]];
    public static override readonly usage = Command.Usage({ description: "Put a text into force" });

    public readonly file = Option.String({ name: "FILE" });
    public readonly base = Option.String("--base", { required: true, description: "Version the text was edited from" });

    protected async run(client: OperatorApiClient): Promise<ExitCode> {
        if (!VERSION.test(this.base)) {
            this.printError(`--base must be a version number, found ${JSON.stringify(this.base)}`);
            return ExitCode.UsageError;
        }
        const text = await this.context.readTextFile(this.file);
        if (text.isErr()) {
            this.printError(text.error);
            return ExitCode.UsageError;
        }
        const checked = parseClusterConfig(text.value);
        if (checked.isErr()) {
            return this.printFindings(checked.error);
        }
        return this.apply(client, text.value);
    }

    private async apply(client: OperatorApiClient, text: string): Promise<ExitCode> {
        const current = await client.readConfig().orElse(emptyTextIfAbsent);
        if (current.isErr()) {
            return this.reportFailure(current.error);
        }
        const difference = renderLineDiff(current.value.text, text);
        const applied = await client.applyConfig({ baseVersion: Number(this.base), text });
        if (applied.isErr()) {
            return this.handleApplyError(applied.error, current.value.version, difference);
        }
        const { version } = applied.value;
        this.printData(
            { version, difference },
            () => `${difference}${difference === "" ? "" : "\n"}version ${version}`
        );
        return ExitCode.Ok;
    }

    private handleApplyError(error: OperatorApiError, currentVersion: number, difference: string): ExitCode {
        if (error.problem?.findings !== undefined) {
            return this.printFindings(error.problem.findings);
        }
        if (error.kind === OperatorApiErrorKind.Conflict) {
            const winningVersion = error.problem?.winningVersion ?? currentVersion;
            this.printConflict(winningVersion, currentVersion, difference);
            return ExitCode.Conflict;
        }
        if (error.kind === OperatorApiErrorKind.ReplyLost) {
            this.printError("the text may have taken effect; see skylark config show");
        }
        return this.reportFailure(error);
    }

    private printFindings(findings: readonly Finding[]): ExitCode {
        this.printData({ file: this.file, findings }, () => renderFindings(this.file, findings));
        return ExitCode.Refused;
    }

    private printConflict(winningVersion: number, comparedVersion: number, difference: string): void {
        const compared = difference === ""
            ? `${this.file} is the same as version ${comparedVersion}`
            : `difference of version ${comparedVersion} to ${this.file}:\n${difference}`;
        this.printData({ winningVersion, comparedVersion, difference }, () => compared);
        this.printError(`conflict: version ${winningVersion} won; the text was edited from version ${this.base}`);
    }
}

/** Treats a deployment without a configuration as version zero with an empty text. */
function emptyTextIfAbsent(error: OperatorApiError): Result<VersionedConfigText, OperatorApiError> {
    return error.problem?.status === STATUS_NOT_FOUND ? ok({ version: 0, text: "" }) : err(error);
}
