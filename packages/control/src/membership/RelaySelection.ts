import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";

/** Processes among which the relays are selected. */
export interface RelayCandidates {
    /** Machines of all processes on the live list, including this one. */
    readonly machines: readonly LiveMachine[];
    /** Whether a process may be a relay: seen recently, reachable and not stopping. */
    readonly isEligible: (processId: string) => boolean;
}

/** Orders machines by failure domain and id; the first eligible one is the relay. */
export function orderMachines(machines: readonly LiveMachine[]): readonly LiveMachine[] {
    return [...machines].sort((left, right) =>
        left.failureDomain.localeCompare(right.failureDomain) || left.machineId.localeCompare(right.machineId)
    );
}

/** Returns the process id of the relay of a failure domain; undefined when no process is eligible. */
export function selectDomainRelay(candidates: RelayCandidates, failureDomain: string): string | undefined {
    const machines = orderMachines(candidates.machines).filter(machine => machine.failureDomain === failureDomain);
    return machines.find(machine => candidates.isEligible(machine.machineId))?.machineId;
}

/** Returns the process id of the relay of a region; undefined when no process is eligible. */
export function selectRegionRelay(candidates: RelayCandidates, region: string): string | undefined {
    const machines = orderMachines(candidates.machines).filter(machine => machine.region === region);
    return machines.find(machine => candidates.isEligible(machine.machineId))?.machineId;
}
