import { QueueKind } from "@skylarkpath/common/model/OperatorsText";
import type { RequestSpec, TaskSizing } from "@skylarkpath/common/model/Request";
import { fitsInto, type Resources, subtractResources } from "@skylarkpath/common/model/Resources";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { SliceLocation } from "../slice/SliceDirectory.js";

/** Chooses the nearest slice whose workers can hold the job at all, else the nearest one. */
export function chooseSlice(
    spec: RequestSpec,
    locations: readonly SliceLocation[],
    machines: readonly LiveMachine[]
): SliceLocation | undefined {
    const { tasks } = spec;
    if (!tasks) {
        return locations[0];
    }
    const atOnce = spec.kind === QueueKind.Gang ? tasks.count : 1;
    return locations.find(({ failureDomain }) => countPlaces(failureDomain, tasks, atOnce, machines) >= atOnce)
        ?? locations[0];
}

function countPlaces(
    failureDomain: string,
    tasks: TaskSizing,
    wanted: number,
    machines: readonly LiveMachine[]
): number {
    let places = 0;
    for (const machine of machines) {
        const isWorker = machine.role === MachineRole.Worker && machine.failureDomain === failureDomain;
        if (isWorker && !machine.leaving && machine.capacity) {
            places += placesOn(machine.capacity, tasks.resources, wanted - places);
        }
        if (places >= wanted) {
            return places;
        }
    }
    return places;
}

function placesOn(capacity: Resources, demand: Resources, wanted: number): number {
    let free = capacity;
    let places = 0;
    while (places < wanted && fitsInto(demand, free)) {
        free = subtractResources(free, demand);
        places++;
    }
    return places;
}
