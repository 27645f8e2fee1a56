import type { ConfigStatusReply, ProcessConfigStatus } from "@skylarkpath/common/api/OperatorsApi";
import { renderTable } from "./Table.js";

/** Renders the configuration versions by failure domain and by process. */
export function renderConfigStatus(status: ConfigStatusReply): string {
    const domains = [...new Set(status.processes.map(({ failureDomain }) => failureDomain))].sort();
    const domainRows = domains.map(domain => domainRow(status, domain));
    const processRows = status.processes.map(({ failureDomain, processId, version, reached }) => [
        failureDomain,
        processId,
        reached ? version : "not reached"
    ]);
    return [
        `version ${status.version}`,
        "",
        renderTable(["failure domain", "lowest version", "up to date", "not reached"], domainRows),
        "",
        renderTable(["failure domain", "process", "version"], processRows)
    ].join("\n");
}

function domainRow(status: ConfigStatusReply, domain: string): readonly (string | number)[] {
    const processes = status.processes.filter(({ failureDomain }) => failureDomain === domain);
    const reached = processes.filter(process => process.reached);
    const current = reached.filter(({ version }) => version >= status.version);
    return [
        domain,
        lowestVersion(reached),
        `${current.length} of ${processes.length}`,
        processes.length - reached.length
    ];
}

function lowestVersion(processes: readonly ProcessConfigStatus[]): string | number {
    return processes.length === 0 ? "unknown" : Math.min(...processes.map(({ version }) => version));
}
