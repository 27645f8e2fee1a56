import { type DomainTopology, KALLIO_TOPOLOGY, type Topology, WORKER_CAPACITY } from "@skylarkpath/proof/Topology";

/** Named size of a deployment to measure. */
export interface MeasuredSize {
    readonly name: string;
    readonly topology: Topology;
}

const REGION_COUNTS: ReadonlyMap<number, number> = new Map([[3, 2], [5, 2], [8, 3], [11, 4]]);
const ENTRIES_PER_DOMAIN = 3;

/** Today's size and 3, 5, 8 and 11 failure domains. */
export function measuredSizes(): readonly MeasuredSize[] {
    const today = { ...KALLIO_TOPOLOGY, domains: KALLIO_TOPOLOGY.domains.map(withoutWorkers) };
    const grown = [...REGION_COUNTS].map(([domains, regions]) => ({
        name: `${domains} domains, ${regions} regions`,
        topology: topologyOf(domains, regions)
    }));
    return [{ name: "today (Kallio)", topology: today }, ...grown];
}

function topologyOf(domainCount: number, regionCount: number): Topology {
    const domains = [...Array(domainCount).keys()].map((place): DomainTopology => ({
        failureDomain: `domain-${String(place).padStart(2, "0")}`,
        region: `region-${Math.floor(place * regionCount / domainCount)}`,
        entries: ENTRIES_PER_DOMAIN,
        workers: 1,
        targets: 1
    }));
    return { domains, workerCapacity: WORKER_CAPACITY, workersPerRack: 1, slotsPerTarget: 8 };
}

function withoutWorkers(domain: DomainTopology): DomainTopology {
    return { ...domain, workers: 1, targets: 1 };
}
