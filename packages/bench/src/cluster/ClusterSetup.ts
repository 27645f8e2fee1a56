import type { Topology } from "@skylarkpath/proof/Topology";
import { composeConfigText, LOAD_TEAMS } from "../load/BenchConfig.js";
import type { ClusterClient } from "./ClusterClient.js";
import { type LocalCluster, sleep } from "./LocalCluster.js";

const LISTEN_SETTLE_MS = 1000;
const SETTLE_MS = 4000;

/** Applies the configuration of the load, waits until all entries are ready, and returns a new key for each team. */
export async function prepareCluster(
    cluster: LocalCluster,
    client: ClusterClient,
    topology: Topology
): Promise<ReadonlyMap<string, string>> {
    await cluster.waitUntilListening();
    await sleep(LISTEN_SETTLE_MS);
    const first = cluster.plan.entries[0]!;
    await client.applyConfig(first, composeConfigText(topology), 0);
    await cluster.waitUntilReady();
    const keys = new Map<string, string>();
    for (const team of Object.keys(LOAD_TEAMS)) {
        keys.set(team, (await client.grantKey(first, team)).key);
    }
    await sleep(SETTLE_MS);
    return keys;
}
