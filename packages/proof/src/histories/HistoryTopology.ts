import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { type Topology, WORKER_CAPACITY } from "../Topology.js";

/** Small topology for histories: two regions with one failure domain each. */
export const HISTORY_TOPOLOGY: Topology = {
    domains: [
        { failureDomain: "vantaa", region: "etela", entries: 2, workers: 2, targets: 2 },
        { failureDomain: "oulu", region: "pohjoinen", entries: 2, workers: 2, targets: 2 }
    ],
    workerCapacity: WORKER_CAPACITY,
    workersPerRack: 1,
    slotsPerTarget: 2
};

/** Names of the failure domains. */
export const FAILURE_DOMAINS: readonly string[] = HISTORY_TOPOLOGY.domains.map(domain => domain.failureDomain);

/** Ids of all processes. */
export const PROCESS_IDS = machineIdsOf("entry", "entries");

/** Ids of all workers. */
export const WORKER_IDS = machineIdsOf("worker", "workers");

/** Ids of all targets. */
export const TARGET_IDS = machineIdsOf("target", "targets");

function machineIdsOf(prefix: string, countField: "entries" | "workers" | "targets"): readonly string[] {
    return HISTORY_TOPOLOGY.domains.flatMap(domain =>
        rangeOf(domain[countField]).map(index => `${domain.failureDomain}-${prefix}-${index}`)
    );
}
