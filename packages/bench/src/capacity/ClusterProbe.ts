import { createSeededRandom } from "@skylarkpath/common/random/RandomSource";
import type { Topology } from "@skylarkpath/proof/Topology";
import { request } from "undici";
import { ClusterClient } from "../cluster/ClusterClient.js";
import { prepareCluster } from "../cluster/ClusterSetup.js";
import { LocalCluster, sleep } from "../cluster/LocalCluster.js";
import { LoadGenerator } from "../load/LoadGenerator.js";
import { drawArrivals } from "../load/RequestMix.js";
import { type ProcessUsage, readProcessUsage } from "./ProcessUsage.js";

/** Load on the cluster during a measurement. */
export interface ProbeLoad {
    /** Long-running tasks that are started before the measurement. */
    readonly tasks: number;
    /** Requests a second of the generated mix, of which only the look-ups and orders are submitted; 0 for none. */
    readonly arrivalsPerSecond: number;
}

/** Resource use of one process during a measurement. */
export interface ProcessCost {
    readonly processId: string;
    readonly ownsSlice: boolean;
    /** Processor time divided by elapsed time; 1 is one full core. */
    readonly corePart: number;
    readonly residentBytes: number;
    /** Bytes a second that the process exchanged with other processes, sent and received. */
    readonly peerBytesPerSecond: number;
}

/** Measured costs of all processes and of the store. */
export interface ProbeResult {
    readonly processes: readonly ProcessCost[];
    readonly storeCommitsPerSecond: number;
    readonly storeReadsPerSecond: number;
    readonly requestsDone: number;
}

interface Snapshot {
    readonly usage: ProcessUsage;
    readonly peerBytes: number;
}

const TASK_DURATION_MS = 3_600_000;
const TASKS_PER_JOB = 50;
const TASK_START_WAIT_MS = 4000;
const MILLISECONDS_PER_SECOND = 1000;
const PEER_BYTES_METRIC = /^skylarkpath_peer_bytes_total\{[^}]*\} (\d+)/gm;
const TASK_SIZE = { processorMillicores: 100, memoryBytes: 1024 ** 2 };

/** Starts a cluster, applies the load and measures the resource use of each process for `measureMs` milliseconds. */
export async function probeCluster(topology: Topology, load: ProbeLoad, measureMs: number): Promise<ProbeResult> {
    const cluster = await LocalCluster.start(topology);
    const client = new ClusterClient(cluster.plan);
    try {
        const keys = await prepareCluster(cluster, client, topology);
        await startTasks(cluster, client, keys, load.tasks);
        const snapshotsBefore = await snapshotAll(cluster);
        const storeBefore = (await cluster.report()).table;
        const startMs = performance.now();
        const requestsDone = await runLoad(cluster, client, keys, load.arrivalsPerSecond, measureMs);
        const elapsedMs = performance.now() - startMs;
        const snapshotsAfter = await snapshotAll(cluster);
        const storeAfter = (await cluster.report()).table;
        const owners = await findOwners(cluster, client);
        const perSecond = (count: number): number => count * MILLISECONDS_PER_SECOND / elapsedMs;
        return {
            processes: [...snapshotsAfter].map(([processId, snapshot]) => ({
                processId,
                ownsSlice: owners.has(processId),
                corePart: (snapshot.usage.processorMs - snapshotsBefore.get(processId)!.usage.processorMs) / elapsedMs,
                residentBytes: snapshot.usage.residentBytes,
                peerBytesPerSecond: perSecond(snapshot.peerBytes - snapshotsBefore.get(processId)!.peerBytes)
            })),
            storeCommitsPerSecond: perSecond(storeAfter.commits - storeBefore.commits),
            storeReadsPerSecond: perSecond(storeAfter.reads - storeBefore.reads),
            requestsDone
        };
    }
    finally {
        await client.close();
        await cluster.stop();
    }
}

async function startTasks(
    cluster: LocalCluster,
    client: ClusterClient,
    keys: ReadonlyMap<string, string>,
    taskCount: number
): Promise<void> {
    const entry = cluster.plan.entries[0]!;
    const teams = [...keys];
    for (let started = 0; started < taskCount; started += TASKS_PER_JOB) {
        const [, key] = teams[(started / TASKS_PER_JOB) % teams.length]!;
        const tasks = { ...TASK_SIZE, count: Math.min(TASKS_PER_JOB, taskCount - started) };
        await client.submit(entry, { queue: "diagnostics-report", payload: `run=${TASK_DURATION_MS}`, tasks }, { key });
    }
    if (taskCount > 0) {
        await sleep(TASK_START_WAIT_MS);
    }
}

async function runLoad(
    cluster: LocalCluster,
    client: ClusterClient,
    keys: ReadonlyMap<string, string>,
    arrivalsPerSecond: number,
    measureMs: number
): Promise<number> {
    if (arrivalsPerSecond === 0) {
        await sleep(measureMs);
        return 0;
    }
    const rates = { arrivalsPerSecond, durationMs: measureMs, teams: [...keys.keys()] };
    const arrivals = drawArrivals(rates, createSeededRandom(1)).filter(arrival => arrival.body.tasks === undefined);
    const load = new LoadGenerator(client, keys, () => cluster.plan.entries, MILLISECONDS_PER_SECOND);
    const traces = await load.run(arrivals);
    return traces.filter(trace => trace.state === "done").length;
}

async function snapshotAll(cluster: LocalCluster): Promise<ReadonlyMap<string, Snapshot>> {
    const snapshots = await Promise.all(cluster.plan.entries.map(async entry => {
        const { machineId } = entry.machine;
        const reply = await request(`http://${entry.operatorsAddress}/metrics`);
        const metrics = await reply.body.text();
        const peerBytes = [...metrics.matchAll(PEER_BYTES_METRIC)].reduce(
            (total, match) => total + Number(match[1]),
            0
        );
        return [machineId, { usage: readProcessUsage(cluster.pidOf(machineId)!), peerBytes }] as const;
    }));
    return new Map(snapshots);
}

async function findOwners(cluster: LocalCluster, client: ClusterClient): Promise<ReadonlySet<string>> {
    const { slices } = await client.status(cluster.plan.entries[0]!);
    return new Set(slices.map(slice => slice.owner.split("/")[0]!));
}
