import type { Resources } from "@skylarkpath/common/model/Resources";
import type { TeamAllotment } from "@skylarkpath/common/model/Slice";

/** One dimension of a team's limit. */
export interface Dimension {
    read(amount: TeamAllotment): number;
}

/** All dimensions of a limit, in the order of `fromNumbers`. */
export const DIMENSIONS: readonly Dimension[] = [
    { read: amount => amount.resources.processorMillicores },
    { read: amount => amount.resources.memoryBytes },
    { read: amount => amount.resources.accelerators },
    { read: amount => amount.slots }
];

/** Composes an amount from one number for each dimension. */
export function fromNumbers(numbers: readonly number[]): TeamAllotment {
    const [processorMillicores = 0, memoryBytes = 0, accelerators = 0, slots = 0] = numbers;
    return { resources: { processorMillicores, memoryBytes, accelerators }, slots };
}

/** No amount at all. */
export const NO_AMOUNT: TeamAllotment = fromNumbers([]);

/** Composes an amount without slots. */
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

/** Smaller of two amounts in each dimension. */
export function minAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, Math.min);
}

/** Larger of two amounts in each dimension. */
export function maxAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, Math.max);
}

/** Sum of two amounts. */
export function addAmounts(left: TeamAllotment, right: TeamAllotment): TeamAllotment {
    return combineAmounts(left, right, (a, b) => a + b);
}

/** Tells whether two amounts are equal. */
export function isSameAmount(left: TeamAllotment, right: TeamAllotment): boolean {
    return DIMENSIONS.every(dimension => dimension.read(left) === dimension.read(right));
}

/** Tells whether an amount exceeds another one in any dimension. */
export function exceeds(left: TeamAllotment, right: TeamAllotment): boolean {
    return DIMENSIONS.some(dimension => dimension.read(left) > dimension.read(right));
}

/** Part of a grant that is valid under another limit than the one at which it was made. */
export function scaleToLimit(granted: TeamAllotment, oldLimit: TeamAllotment, newLimit: TeamAllotment): TeamAllotment {
    return fromNumbers(DIMENSIONS.map(dimension => {
        const [amount, oldValue, newValue] = [granted, oldLimit, newLimit].map(value => dimension.read(value));
        return newValue! >= oldValue! ? amount! : Math.floor(amount! * newValue! / oldValue!);
    }));
}
