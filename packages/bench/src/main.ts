import { Cli } from "clipanion";
import { RunCommand } from "./RunCommand.js";

const cli = new Cli({ binaryName: "bench", binaryLabel: "skylarkpath bench" });
cli.register(RunCommand);
void cli.runExit(process.argv.slice(2));
