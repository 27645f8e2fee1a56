import { type DomainTopology, type Topology, WORKER_CAPACITY } from "@skylarkpath/proof/Topology";
import { writeFileSync } from "node:fs";
import { probeCluster, type ProbeLoad, type ProbeResult, type ProcessCost } from "./ClusterProbe.js";
import { fitLine, type LinearFit } from "./LinearFit.js";

interface Series {
    readonly name: string;
    readonly unit: string;
    readonly sizes: readonly number[];
    readonly topologyOf: (size: number) => Topology;
    readonly loadOf: (size: number) => ProbeLoad;
}

interface SeriesResult {
    readonly name: string;
    readonly unit: string;
    readonly points: readonly { readonly size: number; readonly result: ProbeResult; }[];
    readonly ownerCore: LinearFit;
    readonly ownerBytes: LinearFit;
    readonly entryCore: LinearFit;
    readonly entryBytes: LinearFit;
    readonly peerBytes: LinearFit;
}

const MEASURE_MS = 8000;
const NO_LOAD: ProbeLoad = { tasks: 0, arrivalsPerSecond: 0 };
const MEBIBYTE = 1024 ** 2;

function createTopology(domains: readonly DomainTopology[]): Topology {
    return { domains, workerCapacity: WORKER_CAPACITY, workersPerRack: 8, slotsPerTarget: 8 };
}

function createDomain(index: number, entries: number, workers: number, targets: number): DomainTopology {
    return { failureDomain: `domain-${index}`, region: "region", entries, workers, targets };
}

const SERIES: readonly Series[] = [
    {
        name: "processes of one failure domain, at rest",
        unit: "process",
        sizes: [2, 4, 8, 16],
        topologyOf: size => createTopology([createDomain(0, size, 2, 2)]),
        loadOf: () => NO_LOAD
    },
    {
        name: "failure domains of one region with 2 processes each, at rest",
        unit: "failure domain",
        sizes: [2, 4, 8, 11],
        topologyOf: size =>
            createTopology([...new Array<undefined>(size).keys()].map(index => createDomain(index, 2, 2, 2))),
        loadOf: () => NO_LOAD
    },
    {
        name: "idle workers of one slice",
        unit: "worker",
        sizes: [10, 50, 100, 200],
        topologyOf: size => createTopology([createDomain(0, 2, size, 2)]),
        loadOf: () => NO_LOAD
    },
    {
        name: "running tasks of one slice with 100 workers",
        unit: "task",
        sizes: [0, 500, 1000, 2000],
        topologyOf: () => createTopology([createDomain(0, 2, 100, 2)]),
        loadOf: size => ({ tasks: size, arrivalsPerSecond: 0 })
    },
    {
        name: "look-ups and orders a second over 2 processes",
        unit: "request/s",
        sizes: [25, 50, 100, 200],
        topologyOf: () => createTopology([createDomain(0, 2, 2, 20)]),
        loadOf: size => ({ tasks: 0, arrivalsPerSecond: size })
    }
];

function meanOf(costs: readonly ProcessCost[], valueOf: (cost: ProcessCost) => number): number {
    return costs.reduce((total, cost) => total + valueOf(cost), 0) / Math.max(1, costs.length);
}

async function measure(series: Series): Promise<SeriesResult> {
    const points: { readonly size: number; readonly result: ProbeResult; }[] = [];
    for (const size of series.sizes) {
        const result = await probeCluster(series.topologyOf(size), series.loadOf(size), MEASURE_MS);
        points.push({ size, result });
        printPoint(size, result);
    }
    const fit = (isOwner: boolean, valueOf: (cost: ProcessCost) => number): LinearFit =>
        fitLine(points.map(({ size, result }) => ({
            size,
            value: meanOf(result.processes.filter(cost => cost.ownsSlice === isOwner), valueOf)
        })));
    return {
        name: series.name,
        unit: series.unit,
        points,
        ownerCore: fit(true, cost => cost.corePart),
        ownerBytes: fit(true, cost => cost.residentBytes),
        entryCore: fit(false, cost => cost.corePart),
        entryBytes: fit(false, cost => cost.residentBytes),
        peerBytes: fit(true, cost => cost.peerBytesPerSecond)
    };
}

function printPoint(size: number, result: ProbeResult): void {
    const owners = result.processes.filter(cost => cost.ownsSlice);
    const entries = result.processes.filter(cost => !cost.ownsSlice);
    console.log(
        `  ${String(size).padStart(6)}  owner ${(100 * meanOf(owners, cost => cost.corePart)).toFixed(2)}% of a core, `
            + `${(meanOf(owners, cost => cost.residentBytes) / MEBIBYTE).toFixed(1)} MiB, `
            + `${meanOf(owners, cost => cost.peerBytesPerSecond).toFixed(0)} B/s; `
            + `entry ${(100 * meanOf(entries, cost => cost.corePart)).toFixed(2)}%, `
            + `${(meanOf(entries, cost => cost.residentBytes) / MEBIBYTE).toFixed(1)} MiB; store `
            + `${result.storeCommitsPerSecond.toFixed(1)} commits/s, ${result.storeReadsPerSecond.toFixed(1)} reads/s; `
            + `${result.requestsDone} done`
    );
}

function printFit(label: string, fit: LinearFit, scale: number, unit: string): void {
    const format = (value: number): string => (value * scale).toPrecision(4);
    console.log(
        `    ${label}: ${format(fit.intercept)} + ${format(fit.slope)} ${unit}, residual ${format(fit.residual)}`
    );
}

const nameFilter = process.argv[2];
const results: SeriesResult[] = [];
for (const series of SERIES.filter(candidate => nameFilter === undefined || candidate.name.includes(nameFilter))) {
    console.log(series.name);
    const result = await measure(series);
    results.push(result);
    printFit("owner processor", result.ownerCore, 100, `% of a core per ${result.unit}`);
    printFit("owner memory", result.ownerBytes, 1 / MEBIBYTE, `MiB per ${result.unit}`);
    printFit("entry processor", result.entryCore, 100, `% of a core per ${result.unit}`);
    printFit("entry memory", result.entryBytes, 1 / MEBIBYTE, `MiB per ${result.unit}`);
    printFit("messages of an owner", result.peerBytes, 1, `B/s per ${result.unit}`);
}
if (process.argv[3] !== undefined) {
    writeFileSync(process.argv[3], `${JSON.stringify(results, undefined, 4)}\n`);
}
