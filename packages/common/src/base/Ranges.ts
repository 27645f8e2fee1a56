/** Returns the whole numbers from zero up to the count. */
export function rangeOf(count: number): readonly number[] {
    return [...new Array<undefined>(count).keys()];
}
