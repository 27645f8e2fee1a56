import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import type { RequestSpec, TaskSizing } from "@skylarkpath/common/model/Request";
import { fitsInto, type Resources, subtractResources } from "@skylarkpath/common/model/Resources";
import { type LiveMachine, MachineRole } from "@skylarkpath/common/platform/LiveList";
import type { SliceLocation } from "../slice/SliceDirectory.js";

/** Chooses the nearest slice on whose idle workers all tasks of a gang, or one batch task, fit; else the nearest. */
export function chooseSlice(
    spec: RequestSpec,
    locations: readonly SliceLocation[],
    machines: readonly LiveMachine[]
): SliceLocation | undefined {
    const { tasks } = spec;
    if (!tasks) {
        return locations[0];
    }
    const concurrentTasks = spec.kind === QueueKind.Gang ? tasks.count : 1;
    return locations.find(({ failureDomain }) =>
        countFitsInDomain(failureDomain, tasks, concurrentTasks, machines) >= concurrentTasks
    )
        ?? locations[0];
}

function countFitsInDomain(
    failureDomain: string,
    tasks: TaskSizing,
    needed: number,
    machines: readonly LiveMachine[]
): number {
    let fitCount = 0;
    for (const machine of machines) {
        const isWorker = machine.role === MachineRole.Worker && machine.failureDomain === failureDomain;
        if (isWorker && !machine.leaving && machine.capacity) {
            fitCount += countFits(machine.capacity, tasks.resources, needed - fitCount);
        }
        if (fitCount >= needed) {
            return fitCount;
        }
    }
    return fitCount;
}

function countFits(capacity: Resources, demand: Resources, needed: number): number {
    let free = capacity;
    let fitCount = 0;
    while (fitCount < needed && fitsInto(demand, free)) {
        free = subtractResources(free, demand);
        fitCount++;
    }
    return fitCount;
}
