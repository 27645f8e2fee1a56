import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { DomainTopology, Topology } from "@skylarkpath/proof/Topology";
import { createHash, randomBytes } from "node:crypto";
import { findFreePorts } from "./FreePorts.js";

/** Entry VM, which runs one skylarkd process, with the addresses that the process listens on. */
export interface PlannedEntry {
    readonly machine: LiveMachine;
    readonly callersAddress: string;
    readonly operatorsAddress: string;
}

/** Delays and bandwidth that processes add to their messages to model a network. */
export interface PlannedLinks {
    readonly failureDomainDelayMs: number;
    readonly regionDelayMs: number;
    readonly regionBitsPerSecond: number;
}

/** Machines, addresses and keys of a cluster on loopback. */
export interface ClusterPlan {
    /** Address of the simulated table service, object store and live list. */
    readonly platformAddress: string;
    /** Address at which the bench reads reports from the stand-in process and sets faults. */
    readonly controlAddress: string;
    readonly entries: readonly PlannedEntry[];
    /** Workers and targets. */
    readonly machines: readonly LiveMachine[];
    readonly clusterKey: string;
    readonly operatorKey: string;
    readonly operatorKeyHash: string;
    readonly links?: PlannedLinks;
}

/** Failure domain name that denotes the platform's services in link cuts. */
export const PLATFORM_FAILURE_DOMAIN = "platform";

/** Ports of the platform's services and of the control interface. */
const SHARED_PORTS = 2;
const PORTS_PER_ENTRY = 3;
const HOST = "127.0.0.1";

/** Assigns free loopback ports and new random keys to a cluster with the machines of a topology. */
export async function planCluster(topology: Topology, links?: PlannedLinks): Promise<ClusterPlan> {
    const entryCount = sumDomains(topology, domain => domain.entries);
    const machineCount = sumDomains(topology, domain => domain.workers + domain.targets);
    const ports = [...await findFreePorts(SHARED_PORTS + PORTS_PER_ENTRY * entryCount + machineCount)];
    const nextAddress = (): string => `${HOST}:${ports.pop()}`;
    const operatorKey = randomBytes(16).toString("hex");
    return {
        platformAddress: nextAddress(),
        controlAddress: nextAddress(),
        entries: topology.domains.flatMap(domain => planEntries(domain, nextAddress)),
        machines: topology.domains.flatMap(domain => planMachines(topology, domain, nextAddress)),
        clusterKey: randomBytes(32).toString("hex"),
        operatorKey,
        operatorKeyHash: createHash("sha256").update(operatorKey, "utf8").digest("hex"),
        links
    };
}

/** Composes the text of the settings file of one process. */
export function composeSettings(plan: ClusterPlan, entry: PlannedEntry, cutsFile: string): string {
    const lines = [
        `process_id = "${entry.machine.machineId}"`,
        `failure_domain = "${entry.machine.failureDomain}"`,
        `region = "${entry.machine.region}"`,
        "[listen]",
        `callers = "${entry.callersAddress}"`,
        `operators = "${entry.operatorsAddress}"`,
        `peers = "${entry.machine.address}"`,
        "[platform]",
        `table_service = "http://${plan.platformAddress}"`,
        `object_store = "http://${plan.platformAddress}"`,
        `live_list = "http://${plan.platformAddress}"`,
        "[operators]",
        `key_hashes = ["${plan.operatorKeyHash}"]`,
        "[cluster]",
        `key = "${plan.clusterKey}"`,
        ...composeLinks(plan, cutsFile)
    ];
    return `${lines.join("\n")}\n`;
}

function composeLinks(plan: ClusterPlan, cutsFile: string): readonly string[] {
    const { links } = plan;
    const firstMachine = plan.entries[0]!.machine;
    return links
        ? [
            "[links]",
            `failure_domain_delay = "${links.failureDomainDelayMs}ms"`,
            `region_delay = "${links.regionDelayMs}ms"`,
            `region_bits_per_second = ${links.regionBitsPerSecond}`,
            `platform_failure_domain = "${PLATFORM_FAILURE_DOMAIN}"`,
            `platform_region = "${firstMachine.region}"`,
            `cuts_file = ${JSON.stringify(cutsFile)}`
        ]
        : [];
}

function planEntries(domain: DomainTopology, nextAddress: () => string): readonly PlannedEntry[] {
    return range(domain.entries).map(index => ({
        machine: {
            ...locationOf(domain),
            machineId: `${domain.failureDomain}-entry-${index}`,
            role: MachineRole.Entry,
            address: nextAddress(),
            rack: `${domain.failureDomain}-entries`,
            incarnation: "1",
            leaving: false
        },
        callersAddress: nextAddress(),
        operatorsAddress: nextAddress()
    }));
}

function planMachines(
    topology: Topology,
    domain: DomainTopology,
    nextAddress: () => string
): readonly LiveMachine[] {
    const workers = range(domain.workers).map((index): LiveMachine => ({
        ...locationOf(domain),
        machineId: `${domain.failureDomain}-worker-${index}`,
        role: MachineRole.Worker,
        address: nextAddress(),
        rack: `${domain.failureDomain}-rack-${Math.floor(index / topology.workersPerRack)}`,
        incarnation: "1",
        leaving: false,
        capacity: topology.workerCapacity,
        workerClass: "standard"
    }));
    const targets = range(domain.targets).map((index): LiveMachine => ({
        ...locationOf(domain),
        machineId: `${domain.failureDomain}-target-${index}`,
        role: MachineRole.Target,
        address: nextAddress(),
        rack: `${domain.failureDomain}-targets`,
        incarnation: "1",
        leaving: false,
        slots: topology.slotsPerTarget
    }));
    return [...workers, ...targets];
}

function locationOf(domain: DomainTopology): Pick<LiveMachine, "failureDomain" | "region"> {
    return { failureDomain: domain.failureDomain, region: domain.region };
}

function range(count: number): readonly number[] {
    return [...new Array<undefined>(count).keys()];
}

function sumDomains(topology: Topology, countOf: (domain: DomainTopology) => number): number {
    return topology.domains.reduce((total, domain) => total + countOf(domain), 0);
}
