import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";

/** Decides which processes speak for their failure domain and region. */
export interface RelayCandidates {
    /** Entry machines of the live list with the own one. */
    readonly machines: readonly LiveMachine[];
    /** Tells whether a process may speak for others: heard lately and not stopping. */
    readonly isEligible: (processId: string) => boolean;
}

/** Orders machines by failure domain and id; the first eligible one is the relay. */
export function orderMachines(machines: readonly LiveMachine[]): readonly LiveMachine[] {
    return [...machines].sort((left, right) =>
        left.failureDomain.localeCompare(right.failureDomain) || left.machineId.localeCompare(right.machineId)
    );
}

/** Relay of a failure domain. */
export function selectDomainRelay(candidates: RelayCandidates, failureDomain: string): string | undefined {
    const machines = orderMachines(candidates.machines).filter(machine => machine.failureDomain === failureDomain);
    return machines.find(machine => candidates.isEligible(machine.machineId))?.machineId;
}

/** Relay of a region. */
export function selectRegionRelay(candidates: RelayCandidates, region: string): string | undefined {
    const machines = orderMachines(candidates.machines).filter(machine => machine.region === region);
    return machines.find(machine => candidates.isEligible(machine.machineId))?.machineId;
}
