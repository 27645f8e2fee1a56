import { type DomainTopology, KALLIO_TOPOLOGY, type Topology, WORKER_CAPACITY } from "@skylarkpath/proof/Topology";

/** Deployment to measure, with the name of its size. */
export interface MeasuredSize {
    readonly name: string;
    readonly topology: Topology;
}

/** Number of regions for each measured number of failure domains. */
const REGIONS_BY_DOMAIN_COUNT: ReadonlyMap<number, number> = new Map([[3, 2], [5, 2], [8, 3], [11, 4]]);
const ENTRIES_PER_DOMAIN = 3;

/** Creates deployments of today's size and with 3, 5, 8 and 11 failure domains, with one worker and target in each. */
export function createMeasuredSizes(): readonly MeasuredSize[] {
    const today = { ...KALLIO_TOPOLOGY, domains: KALLIO_TOPOLOGY.domains.map(withOneWorkerAndTarget) };
    const largerSizes = [...REGIONS_BY_DOMAIN_COUNT].map(([domains, regions]) => ({
        name: `${domains} domains, ${regions} regions`,
        topology: topologyOf(domains, regions)
    }));
    return [{ name: "today (Kallio)", topology: today }, ...largerSizes];
}

function topologyOf(domainCount: number, regionCount: number): Topology {
    const domains = [...Array(domainCount).keys()].map((index): DomainTopology => ({
        failureDomain: `domain-${String(index).padStart(2, "0")}`,
        region: `region-${Math.floor(index * regionCount / domainCount)}`,
        entries: ENTRIES_PER_DOMAIN,
        workers: 1,
        targets: 1
    }));
    return { domains, workerCapacity: WORKER_CAPACITY, workersPerRack: 1, slotsPerTarget: 8 };
}

function withOneWorkerAndTarget(domain: DomainTopology): DomainTopology {
    return { ...domain, workers: 1, targets: 1 };
}
