import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import { AARWALD_TOPOLOGY, KALLIO_TOPOLOGY, SMALL_TOPOLOGY, type Topology } from "@skylarkpath/proof/Topology";
import { Command, Option } from "clipanion";
import { writeFileSync } from "node:fs";
import { ClusterClient } from "./cluster/ClusterClient.js";
import { prepareCluster } from "./cluster/ClusterSetup.js";
import { LocalCluster } from "./cluster/LocalCluster.js";
import type { StandInReport } from "./cluster/StandInHost.js";
import { FaultInjector, type FaultResult } from "./faults/FaultInjector.js";
import { parseFaults } from "./faults/FaultSchedule.js";
import { LOAD_TEAMS } from "./load/BenchConfig.js";
import { LoadGenerator } from "./load/LoadGenerator.js";
import { type QueueSummary, summarizeLoad } from "./load/LoadSummary.js";
import { drawArrivals } from "./load/RequestMix.js";
import { renderRun } from "./RunReport.js";

/** Result of one run, also written to the output file as JSON. */
export interface RunResult {
    readonly deployment: string;
    readonly seed: number;
    readonly seconds: number;
    readonly arrivalsPerSecond: number;
    readonly processes: number;
    readonly queues: readonly QueueSummary[];
    readonly faults: readonly FaultResult[];
    readonly standIns: StandInReport;
    readonly storeCommitsPerThousandAccepted: number;
}

const TOPOLOGIES: Readonly<Record<string, Topology>> = {
    aarwald: AARWALD_TOPOLOGY,
    kallio: KALLIO_TOPOLOGY,
    small: SMALL_TOPOLOGY
};
const LINK_MODEL = { failureDomainDelayMs: 1, regionDelayMs: 20, regionBitsPerSecond: 20_000_000 };
const MILLISECONDS_PER_SECOND = 1000;
const EXIT_OK = 0;
const EXIT_VIOLATIONS = 1;
const EXIT_USAGE = 2;

/** Runs a load with faults against real processes on loopback and exits with 1 when a guarantee was violated. */
export class RunCommand extends Command {
    public static override paths = [["run"]];
    public static override usage = Command.Usage({
        description: "Run a load with faults against real processes on loopback.",
        examples: [["Kill an owner", "$0 run --deployment kallio --seconds 20 --fault kill-owner@5"]]
    });

    public deployment = Option.String("--deployment", "kallio");
    public seconds = Option.String("--seconds", "15");
    public rate = Option.String("--rate", "200");
    public seed = Option.String("--seed", "1");
    public fault = Option.String("--fault", "");
    public drainSeconds = Option.String("--drain-seconds", "60");
    public noLinks = Option.Boolean("--no-links", false);
    public profile = Option.String("--profile", {
        description: "Folder for the processor profiles of all processes"
    });
    public output = Option.String("--output");

    public override async execute(): Promise<number> {
        const topology = TOPOLOGIES[this.deployment];
        const faults = parseFaults(this.fault);
        if (!topology || faults.isErr()) {
            this.context.stderr.write(`${faults.isErr() ? faults.error : `unknown deployment ${this.deployment}`}\n`);
            return EXIT_USAGE;
        }
        const cluster = await LocalCluster.start(topology, this.noLinks ? undefined : LINK_MODEL, this.profile);
        const client = new ClusterClient(cluster.plan);
        try {
            const keys = await prepareCluster(cluster, client, topology);
            const injector = new FaultInjector(cluster, client);
            const arrivals = drawArrivals(
                {
                    arrivalsPerSecond: Number(this.rate),
                    durationMs: Number(this.seconds) * MILLISECONDS_PER_SECOND,
                    teams: Object.keys(LOAD_TEAMS)
                },
                createSeededRandom(Number(this.seed))
            );
            const generator = new LoadGenerator(
                client,
                keys,
                () => injector.availableEntries,
                Number(this.drainSeconds) * MILLISECONDS_PER_SECOND
            );
            const reportBefore = await cluster.report();
            const [traces, faultResults] = await Promise.all([generator.run(arrivals), injector.run(faults.value)]);
            const reportAfter = await cluster.report();
            const queues = summarizeLoad(traces);
            const accepted = queues.reduce((total, queue) => total + queue.accepted, 0);
            return this.writeResult({
                deployment: this.deployment,
                seed: Number(this.seed),
                seconds: Number(this.seconds),
                arrivalsPerSecond: Number(this.rate),
                processes: cluster.plan.entries.length,
                queues,
                faults: faultResults,
                standIns: reportAfter,
                storeCommitsPerThousandAccepted: 1000 * (reportAfter.table.commits - reportBefore.table.commits)
                    / Math.max(1, accepted)
            });
        }
        finally {
            await client.close();
            await cluster.stop();
        }
    }

    private writeResult(result: RunResult): number {
        this.context.stdout.write(renderRun(result));
        if (this.output !== undefined) {
            writeFileSync(this.output, `${JSON.stringify(result, undefined, 4)}\n`);
        }
        const violations = result.queues.reduce((total, queue) => total + queue.lost + queue.wrongAnswers, 0)
            + result.standIns.doubleRuns + result.standIns.doubleOrders + result.standIns.overCapacity;
        return violations === 0 ? EXIT_OK : EXIT_VIOLATIONS;
    }
}
