import type { SliceStatus, StatusReply } from "@skylarkpath/common/api/OperatorsApi";
import { type Cell, renderTable } from "./Table.js";

const MILLICORES_PER_PROCESSOR = 1_000;
const BYTES_PER_MEBIBYTE = 1_048_576;

/** Renders the state of processes, slices, teams and services. */
export function renderStatus(status: StatusReply): string {
    const state = status.ready ? "ready" : "not ready";
    const store = status.storeReachable ? "store reachable" : "store not reachable";
    const sections = [
        `${status.processId} in ${status.failureDomain}: ${state}, version ${status.configVersion}, ${store}`,
        renderPeers(status),
        renderSlices(status.slices),
        renderTeams(status.slices),
        renderServices(status.slices)
    ];
    return sections.join("\n\n");
}

function renderPeers({ peers }: StatusReply): string {
    const rows = peers.map(peer => [peer.region, peer.failureDomain, peer.processId, peer.state, peer.configVersion]);
    return renderTable(["region", "failure domain", "process", "state", "version"], rows);
}

function renderSlices(slices: readonly SliceStatus[]): string {
    const headers = ["slice", "owner", "epoch", "workers", "fenced", "running", "waiting", "held"];
    const rows = slices.map(slice => [
        slice.sliceId,
        slice.owner,
        slice.epoch,
        slice.workers,
        slice.fencedWorkers,
        slice.runningTasks,
        slice.waitingGroups,
        slice.heldRequests
    ]);
    return renderTable(headers, rows);
}

function renderTeams(slices: readonly SliceStatus[]): string {
    const rows: readonly (readonly Cell[])[] = slices.flatMap(({ sliceId, teams }) =>
        teams.map(({ team, running, slotsInUse, waitingGroups }) => [
            team,
            sliceId,
            running.processorMillicores / MILLICORES_PER_PROCESSOR,
            Math.round(running.memoryBytes / BYTES_PER_MEBIBYTE),
            running.accelerators,
            slotsInUse,
            waitingGroups
        ])
    );
    const headers = ["team", "slice", "processors", "memory MiB", "accelerators", "slots", "waiting"];
    return renderTable(headers, rows);
}

function renderServices(slices: readonly SliceStatus[]): string {
    const replicasByService = new Map<string, number>();
    for (const [service, running] of slices.flatMap(slice => Object.entries(slice.services))) {
        replicasByService.set(service, (replicasByService.get(service) ?? 0) + running);
    }
    return renderTable(["service", "running"], [...replicasByService].sort());
}
