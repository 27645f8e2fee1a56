import type { ResourceAmounts } from "./JobSpec.js";

/** Mutable sum of resources. */
export interface ResourceSum {
    cpuMilli: number;
    memoryMb: number;
    accelerators: number;
}

/** Creates a sum of zero. */
export function createResourceSum(): ResourceSum {
    return { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds resources to a sum a number of times; a negative number subtracts them. */
export function addResources(sum: ResourceSum, resources: ResourceAmounts, times = 1): void {
    sum.cpuMilli += resources.cpuMilli * times;
    sum.memoryMb += resources.memoryMb * times;
    sum.accelerators += resources.accelerators * times;
}

/** Returns how many tasks of a size fit into the unused part of a capacity, with or without regard to CPU. */
export function countFits(
    capacity: ResourceAmounts,
    inUse: ResourceSum,
    size: ResourceAmounts,
    countsCpu = true
): number {
    let fits = Number.MAX_SAFE_INTEGER;
    if (countsCpu && size.cpuMilli > 0) {
        fits = Math.min(fits, Math.floor((capacity.cpuMilli - inUse.cpuMilli) / size.cpuMilli));
    }
    if (size.memoryMb > 0) {
        fits = Math.min(fits, Math.floor((capacity.memoryMb - inUse.memoryMb) / size.memoryMb));
    }
    if (size.accelerators > 0) {
        fits = Math.min(fits, Math.floor((capacity.accelerators - inUse.accelerators) / size.accelerators));
    }
    return Math.max(0, fits);
}

/** Returns how many more tasks of a size a limit allows; a value of zero in the limit means unlimited. */
export function countWithinLimit(limit: ResourceAmounts, inUse: ResourceSum, size: ResourceAmounts): number {
    const cpu = countInDimension(limit.cpuMilli, inUse.cpuMilli, size.cpuMilli);
    const memory = countInDimension(limit.memoryMb, inUse.memoryMb, size.memoryMb);
    const accelerators = countInDimension(limit.accelerators, inUse.accelerators, size.accelerators);
    return Math.max(0, Math.min(cpu, memory, accelerators));
}

function countInDimension(limit: number, used: number, size: number): number {
    return limit === 0 || size === 0 ? Number.MAX_SAFE_INTEGER : Math.floor((limit - used) / size);
}
