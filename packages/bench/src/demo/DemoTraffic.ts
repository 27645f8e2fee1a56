import { AARWALD_TOPOLOGY, KALLIO_TOPOLOGY, type Topology } from "@skylarkpath/proof/Topology";

/** Requests of one team to one queue at a mean rate. */
export interface DemoStream {
    readonly queue: string;
    readonly team: string;
    readonly requestsPerMinute: number;
    readonly durationMs: number;
    /** Tasks of each request; only for batch and gang queues. */
    readonly tasks?: { readonly count: number; readonly processorMillicores: number; readonly memoryBytes: number; };
}

/** Deployment, faults and load of a demo run. */
export interface DemoDefinition {
    readonly name: string;
    /** File name of the configuration text, in the examples folder. */
    readonly textFile: string;
    readonly topology: Topology;
    /** Entry process that is killed and replaced under load. */
    readonly killedProcess: string;
    /** Failure domain that is temporarily disconnected from the others and from the store. */
    readonly cutFailureDomain: string;
    readonly streams: readonly DemoStream[];
}

const GIBIBYTE = 1024 ** 3;

/** Demo of Aarwald: fatigue-cycle gangs, batches of posture data, height checks, certifications and desk offers. */
export const AARWALD_DEMO: DemoDefinition = {
    name: "Aarwald Ergonomics Trials AG",
    textFile: "aarwald.toml",
    topology: AARWALD_TOPOLOGY,
    killedProcess: "ch-north-a-entry-0",
    cutFailureDomain: "ch-west-a",
    streams: [
        { queue: "height-check", team: "laboratory", requestsPerMinute: 300, durationMs: 40 },
        { queue: "certification", team: "certification-office", requestsPerMinute: 20, durationMs: 300 },
        { queue: "desk-offers", team: "procurement", requestsPerMinute: 60, durationMs: 120 },
        {
            queue: "fatigue-cycles",
            team: "fatigue-analysis",
            requestsPerMinute: 12,
            durationMs: 6000,
            tasks: { count: 8, processorMillicores: 4000, memoryBytes: 12 * GIBIBYTE }
        },
        {
            queue: "posture-sensors",
            team: "posture-trials",
            requestsPerMinute: 60,
            durationMs: 2500,
            tasks: { count: 4, processorMillicores: 1500, memoryBytes: 5 * GIBIBYTE }
        }
    ]
};

/** Demo of Kallio: overnight diagnostics, battery summaries, part look-ups and battery orders. */
export const KALLIO_DEMO: DemoDefinition = {
    name: "Trukkihuolto Kallio Oy",
    textFile: "kallio.toml",
    topology: KALLIO_TOPOLOGY,
    killedProcess: "vantaa-entry-0",
    cutFailureDomain: "oulu",
    streams: [
        { queue: "part-lookup", team: "workshop", requestsPerMinute: 240, durationMs: 40 },
        { queue: "part-lookup", team: "dispatch", requestsPerMinute: 120, durationMs: 40 },
        { queue: "part-lookup", team: "customer-depots", requestsPerMinute: 60, durationMs: 40 },
        { queue: "battery-orders", team: "batteries", requestsPerMinute: 20, durationMs: 200 },
        {
            queue: "diagnostics-reports",
            team: "diagnostics",
            requestsPerMinute: 60,
            durationMs: 3000,
            tasks: { count: 6, processorMillicores: 2000, memoryBytes: 6 * GIBIBYTE }
        },
        {
            queue: "battery-summaries",
            team: "batteries",
            requestsPerMinute: 30,
            durationMs: 1500,
            tasks: { count: 2, processorMillicores: 1000, memoryBytes: 2 * GIBIBYTE }
        }
    ]
};
