import type { Resources } from "@skylarkpath/common/model/Resources";

/** Failure domain of a deployment and how many machines of each kind it has. */
export interface DomainTopology {
    readonly failureDomain: string;
    readonly region: string;
    readonly entries: number;
    readonly workers: number;
    readonly targets: number;
}

/** Machines of a deployment: their numbers by failure domain and their sizes. */
export interface Topology {
    readonly domains: readonly DomainTopology[];
    readonly workerCapacity: Resources;
    readonly workersPerRack: number;
    readonly slotsPerTarget: number;
}

const GIBIBYTE = 1024 ** 3;

/** Capacity of a worker at the current machine size: 16 cores and 64 GiB. */
export const WORKER_CAPACITY: Resources = {
    processorMillicores: 16_000,
    memoryBytes: 64 * GIBIBYTE,
    accelerators: 0
};

/** Aarwald deployment at its current size. */
export const AARWALD_TOPOLOGY: Topology = {
    domains: [
        { failureDomain: "ch-north-a", region: "ch-north", entries: 3, workers: 10, targets: 10 },
        { failureDomain: "ch-north-b", region: "ch-north", entries: 2, workers: 10, targets: 10 },
        { failureDomain: "ch-west-a", region: "ch-west", entries: 2, workers: 10, targets: 10 }
    ],
    workerCapacity: WORKER_CAPACITY,
    workersPerRack: 8,
    slotsPerTarget: 8
};

/** Kallio deployment at its current size. */
export const KALLIO_TOPOLOGY: Topology = {
    domains: [
        { failureDomain: "vantaa", region: "etela", entries: 3, workers: 10, targets: 10 },
        { failureDomain: "tampere", region: "etela", entries: 3, workers: 10, targets: 10 },
        { failureDomain: "oulu", region: "pohjoinen", entries: 2, workers: 10, targets: 10 }
    ],
    workerCapacity: WORKER_CAPACITY,
    workersPerRack: 8,
    slotsPerTarget: 8
};

/** Small deployment for tests: three failure domains in two regions. */
export const SMALL_TOPOLOGY: Topology = {
    domains: [
        { failureDomain: "vantaa", region: "etela", entries: 2, workers: 2, targets: 2 },
        { failureDomain: "tampere", region: "etela", entries: 1, workers: 2, targets: 2 },
        { failureDomain: "oulu", region: "pohjoinen", entries: 1, workers: 2, targets: 2 }
    ],
    workerCapacity: WORKER_CAPACITY,
    workersPerRack: 1,
    slotsPerTarget: 8
};
