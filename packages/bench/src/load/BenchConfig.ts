import type { Topology } from "@skylarkpath/proof/Topology";

/** Queues that the load submits to. */
export enum LoadQueue {
    Lookup = "part-lookup",
    Order = "battery-order",
    Batch = "diagnostics-report",
    Gang = "fatigue-cycle",
    Urgent = "urgent-check"
}

/** Share of each team that submits requests. */
export const LOAD_TEAMS: Readonly<Record<string, number>> = {
    dispatch: 4,
    workshop: 3,
    depots: 2,
    fleet: 1,
    parts: 1,
    night: 1
};

const TEAM_LIMIT_FRACTION = 0.75;
const MILLICORES_PER_PROCESSOR = 1000;
const GIBIBYTE = 1024 ** 3;

/** Composes the configuration text for a topology; each team may use at most three quarters of the fleet. */
export function composeConfigText(topology: Topology): string {
    const workers = topology.domains.reduce((total, domain) => total + domain.workers, 0);
    const targets = topology.domains.reduce((total, domain) => total + domain.targets, 0);
    const processors = topology.workerCapacity.processorMillicores / MILLICORES_PER_PROCESSOR;
    const memoryGibibytes = topology.workerCapacity.memoryBytes / GIBIBYTE;
    const limit = [
        `processors = ${Math.floor(workers * processors * TEAM_LIMIT_FRACTION)}`,
        `memory = "${Math.floor(workers * memoryGibibytes * TEAM_LIMIT_FRACTION)}GiB"`,
        "accelerators = 0",
        `slots = ${Math.floor(targets * topology.slotsPerTarget * TEAM_LIMIT_FRACTION)}`
    ].join(", ");
    const domains = topology.domains.map(domain =>
        `[failure_domains.${domain.failureDomain}]\nregion = "${domain.region}"`
    );
    const teams = Object.entries(LOAD_TEAMS).map(([name, share]) =>
        `[teams.${name}]\nshare = ${share}\nlimit = { ${limit} }`
    );
    return [
        `deployment = "bench"`,
        ...domains,
        `[worker_classes.standard]\nprocessors = ${processors}\nmemory = "${memoryGibibytes}GiB"\naccelerators = 0`,
        ...teams,
        composeService("parts-database", ""),
        composeService("parts-catalogue", `depends_on = ["parts-database"]\n`),
        composeQueue(LoadQueue.Lookup, "lookup", true, "800ms"),
        composeQueue(LoadQueue.Order, "lookup", false, "5s"),
        composeQueue(LoadQueue.Batch, "batch", true, "1h"),
        composeQueue(LoadQueue.Gang, "gang", true, "1h"),
        `${composeQueue(LoadQueue.Urgent, "batch", true, "1h")}\nurgent = true`
    ].join("\n");
}

function composeService(name: string, extraLines: string): string {
    return `[services.${name}]\nteam = "parts"\ncount = 3\nprocessors = 0.5\nmemory = "512MiB"\n${extraLines}command = "${name}"`;
}

function composeQueue(name: string, kind: string, idempotent: boolean, deadline: string): string {
    return `[queues.${name}]\nkind = "${kind}"\nidempotent = ${idempotent}\ndefault_deadline = "${deadline}"`;
}
