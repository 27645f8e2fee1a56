import { readFileSync } from "node:fs";
import type { ClusterPlan } from "./ClusterPlan.js";
import { StandInHost } from "./StandInHost.js";

const plan = JSON.parse(readFileSync(process.argv[2]!, "utf8")) as ClusterPlan;
await new StandInHost(plan).start();
process.stdout.write("ready\n");
