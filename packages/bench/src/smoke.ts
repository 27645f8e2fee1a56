import { KALLIO_TOPOLOGY } from "@skylarkpath/proof/Topology";
import { readFileSync } from "node:fs";
import { ClusterClient } from "./cluster/ClusterClient.js";
import { LocalCluster, pause } from "./cluster/LocalCluster.js";

const cluster = await LocalCluster.start(KALLIO_TOPOLOGY);
const client = new ClusterClient(cluster.plan);
try {
    await cluster.waitListening();
    await pause(1000);
    const first = cluster.entry("vantaa-entry-0");
    console.log(await client.applyText(first, readFileSync(process.argv[2]!, "utf8"), 0));
    await cluster.waitReady();
    const { key } = await client.grantKey(first, "dispatch");
    await pause(3000);
    console.log(JSON.stringify((await client.status(first)).slices, undefined, 1));
    const started = performance.now();
    console.log(
        await client.submit(first, { queue: "part-lookup", payload: "seal" }, { key }),
        performance.now() - started
    );
    const tasks = { count: 4, processorMillicores: 1000, memoryBytes: 1024 };
    const accepted = await client.submit(first, { queue: "diagnostics", payload: "run=300", tasks }, { key });
    console.log(accepted);
    console.log(await client.describe(cluster.entry("oulu-entry-0"), accepted.view!.requestId, key, 10_000));
    console.log(await cluster.report());
}
finally {
    await client.close();
    await cluster.stop();
}
