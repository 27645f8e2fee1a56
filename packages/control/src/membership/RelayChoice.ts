import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";

/** Decides which processes speak for their failure domain and region. */
export interface RelayView {
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
export function domainRelay(view: RelayView, failureDomain: string): string | undefined {
    const machines = orderMachines(view.machines).filter(machine => machine.failureDomain === failureDomain);
    return machines.find(machine => view.isEligible(machine.machineId))?.machineId;
}

/** Relay of a region. */
export function regionRelay(view: RelayView, region: string): string | undefined {
    const machines = orderMachines(view.machines).filter(machine => machine.region === region);
    return machines.find(machine => view.isEligible(machine.machineId))?.machineId;
}
