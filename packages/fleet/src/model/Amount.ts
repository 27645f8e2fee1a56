import type { Size } from "./JobSpec.js";

/** Running sum of resources. */
export interface Amount {
    cpuMilli: number;
    memoryMb: number;
    accelerators: number;
}

/** Creates an empty sum. */
export function createAmount(): Amount {
    return { cpuMilli: 0, memoryMb: 0, accelerators: 0 };
}

/** Adds a size a number of times; a negative number takes it away. */
export function addSize(amount: Amount, size: Size, times = 1): void {
    amount.cpuMilli += size.cpuMilli * times;
    amount.memoryMb += size.memoryMb * times;
    amount.accelerators += size.accelerators * times;
}

/** Returns how many tasks of a size fit into what a capacity leaves beside an amount in use. */
export function countFits(capacity: Size, used: Amount, size: Size, countsCpu = true): number {
    let fits = Number.MAX_SAFE_INTEGER;
    if (countsCpu && size.cpuMilli > 0) {
        fits = Math.min(fits, Math.floor((capacity.cpuMilli - used.cpuMilli) / size.cpuMilli));
    }
    if (size.memoryMb > 0) {
        fits = Math.min(fits, Math.floor((capacity.memoryMb - used.memoryMb) / size.memoryMb));
    }
    if (size.accelerators > 0) {
        fits = Math.min(fits, Math.floor((capacity.accelerators - used.accelerators) / size.accelerators));
    }
    return Math.max(0, fits);
}

/** Returns how many tasks of a size fit within a limit, in which zero means no limit. */
export function countWithin(limit: Size, used: Amount, size: Size): number {
    const cpu = countAlong(limit.cpuMilli, used.cpuMilli, size.cpuMilli);
    const memory = countAlong(limit.memoryMb, used.memoryMb, size.memoryMb);
    const accelerators = countAlong(limit.accelerators, used.accelerators, size.accelerators);
    return Math.max(0, Math.min(cpu, memory, accelerators));
}

function countAlong(limit: number, used: number, size: number): number {
    return limit === 0 || size === 0 ? Number.MAX_SAFE_INTEGER : Math.floor((limit - used) / size);
}
