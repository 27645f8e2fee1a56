/** Amounts of resources, such as the capacity of a worker or the demand of a task. */
export interface Resources {
    readonly processorMillicores: number;
    readonly memoryBytes: number;
    readonly accelerators: number;
}

/** Zero of every resource. */
export const NO_RESOURCES: Resources = { processorMillicores: 0, memoryBytes: 0, accelerators: 0 };

/** Adds two amounts. */
export function addResources(left: Resources, right: Resources): Resources {
    return {
        processorMillicores: left.processorMillicores + right.processorMillicores,
        memoryBytes: left.memoryBytes + right.memoryBytes,
        accelerators: left.accelerators + right.accelerators
    };
}

/** Subtracts the right amount from the left one; may go below zero. */
export function subtractResources(left: Resources, right: Resources): Resources {
    return {
        processorMillicores: left.processorMillicores - right.processorMillicores,
        memoryBytes: left.memoryBytes - right.memoryBytes,
        accelerators: left.accelerators - right.accelerators
    };
}

/** Multiplies an amount and rounds each resource down to an integer. */
export function scaleResources(amount: Resources, factor: number): Resources {
    return {
        processorMillicores: Math.floor(amount.processorMillicores * factor),
        memoryBytes: Math.floor(amount.memoryBytes * factor),
        accelerators: Math.floor(amount.accelerators * factor)
    };
}

/** Returns whether the demand fits into the free resources. */
export function fitsInto(demand: Resources, free: Resources): boolean {
    return demand.processorMillicores <= free.processorMillicores
        && demand.memoryBytes <= free.memoryBytes
        && demand.accelerators <= free.accelerators;
}
