#!/usr/bin/env node
import { Cli } from "clipanion";
import { ServeCommand } from "./ServeCommand.js";

const cli = new Cli({ binaryName: "skylarkd", binaryLabel: "skylarkpath server", enableCapture: false });
cli.register(ServeCommand);
void cli.runExit(process.argv.slice(2));
