import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TeamAllotment } from "@skylarkpath/common/model/Slice";

/** One dimension of an amount, such as memory. */
export interface Dimension {
    read(amount: TeamAllotment): number;
}

/** All dimensions of an amount, in the order that `fromNumbers` expects. */
export const DIMENSIONS: readonly Dimension[] = [
    { read: amount => amount.resources.processorMillicores },
    { read: amount => amount.resources.memoryBytes },
    { read: amount => amount.resources.accelerators },
    { read: amount => amount.slots }
];

/** Creates an amount from one number for each dimension; missing numbers are zero. */
export function fromNumbers(numbers: readonly number[]): TeamAllotment {
    const [processorMillicores = 0, memoryBytes = 0, accelerators = 0, slots = 0] = numbers;
    return { resources: { processorMillicores, memoryBytes, accelerators }, slots };
}

/** Amount that is zero in every dimension. */
export const NO_AMOUNT: TeamAllotment = fromNumbers([]);

/** Creates an amount from resources and a number of look-up slots. */
export function fromResources(resources: Resources, slots = 0): TeamAllotment {
    return { resources, slots };
}

/** Combines two amounts dimension by dimension. */
export function combineAmounts(
    left: TeamAllotment,
    right: TeamAllotment,
    operation: (left: number, right: number) => number
): TeamAllotment {
    return fromNumbers(DIMENSIONS.map(dimension => operation(dimension.read(left), dimension.read(right))));
}

/** Takes the minimum of two amounts in each dimension. */
export function minAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, Math.min);
}

/** Takes the maximum of two amounts in each dimension. */
export function maxAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, Math.max);
}

/** Adds two amounts. */
export function addAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, (a, b) => a + b);
}

/** Returns whether two amounts are equal in every dimension. */
export function isSameAmount(left: TeamAllotment, right: TeamAllotment): boolean {
    return DIMENSIONS.every(dimension => dimension.read(left) === dimension.read(right));
}

/** Returns whether the left amount exceeds the right one in any dimension. */
export function exceeds(left: TeamAllotment, right: TeamAllotment): boolean {
    return DIMENSIONS.some(dimension => dimension.read(left) > dimension.read(right));
}

/** Scales a grant down, in each dimension whose limit was lowered, by the ratio of the limits and rounds down. */
export function scaleToLimit(granted: TeamAllotment, oldLimit: TeamAllotment, newLimit: TeamAllotment): TeamAllotment {
    return fromNumbers(DIMENSIONS.map(dimension => {
        const [amount, oldValue, newValue] = [granted, oldLimit, newLimit].map(value => dimension.read(value));
        return newValue! >= oldValue! ? amount! : Math.floor(amount! * newValue! / oldValue!);
    }));
}
