import { Builtins, Cli, type Command } from "clipanion";
import type { CommandContext } from "./CommandContext.js";
import { ConfigApplyCommand } from "./commands/ConfigApplyCommand.js";
import { ConfigCheckCommand } from "./commands/ConfigCheckCommand.js";
import { ConfigShowCommand } from "./commands/ConfigShowCommand.js";
import { ConfigStatusCommand } from "./commands/ConfigStatusCommand.js";
import { ExplainCommand } from "./commands/ExplainCommand.js";
import { KeyGrantCommand } from "./commands/KeyGrantCommand.js";
import { KeyListCommand } from "./commands/KeyListCommand.js";
import { KeyWithdrawCommand } from "./commands/KeyWithdrawCommand.js";
import { LogExplainCommand } from "./commands/LogExplainCommand.js";
import { PlaceCommand } from "./commands/PlaceCommand.js";
import { StatusCommand } from "./commands/StatusCommand.js";
import { TimelineCommand } from "./commands/TimelineCommand.js";
import { ExitCode } from "./ExitCode.js";

const COMMANDS = [
    Builtins.HelpCommand,
    ConfigCheckCommand,
    ConfigApplyCommand,
    ConfigShowCommand,
    ConfigStatusCommand,
    KeyGrantCommand,
    KeyWithdrawCommand,
    KeyListCommand,
    StatusCommand,
    TimelineCommand,
    ExplainCommand,
    PlaceCommand,
    LogExplainCommand
];

/** Runs a command line and returns its exit code. */
export async function runSkylark(commandLine: readonly string[], context: CommandContext): Promise<number> {
    const cli = new Cli<CommandContext>({
        binaryName: "skylark",
        binaryLabel: "skylarkpath operators' command line",
        enableColors: false
    });
    for (const command of COMMANDS) {
        cli.register(command);
    }
    if (commandLine.length === 0) {
        context.stderr.write(cli.usage());
        return ExitCode.UsageError;
    }
    let command: Command<CommandContext>;
    try {
        command = cli.process([...commandLine], context);
    }
    catch (error) {
        context.stderr.write(error instanceof Error ? cli.error(error) : String(error));
        return ExitCode.UsageError;
    }
    return cli.run(command, context);
}
