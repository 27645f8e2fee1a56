#!/usr/bin/env node
import { Cli } from "clipanion";
import { FleetCommand } from "./FleetCommand.js";
import { ServeCommand } from "./ServeCommand.js";

const cli = new Cli({ binaryName: "skylarkd", binaryLabel: "skylarkpath server", enableCapture: false });
cli.register(ServeCommand);
cli.register(FleetCommand);
void cli.runExit(process.argv.slice(2));
