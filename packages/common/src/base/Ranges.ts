/** Returns the integers from 0 to `count - 1`. */
export function rangeOf(count: number): readonly number[] {
    return [...new Array<undefined>(count).keys()];
}
