/** Returns the known name with the fewest edits from the given one. */
export function findNearestName(name: string, knownNames: Iterable<string>): string | undefined {
    let nearest: string | undefined;
    let fewestEdits = Number.POSITIVE_INFINITY;
    for (const knownName of knownNames) {
        const edits = countEdits(name.slice(0, MAXIMUM_COMPARED_CHARACTERS), knownName);
        if (edits < fewestEdits) {
            nearest = knownName;
            fewestEdits = edits;
        }
    }
    return nearest;
}

const MAXIMUM_COMPARED_CHARACTERS = 64;

function countEdits(left: string, right: string): number {
    let previousRow = [...Array(right.length + 1).keys()];
    for (let row = 1; row <= left.length; row++) {
        const currentRow = [row];
        for (let column = 1; column <= right.length; column++) {
            const substitution = previousRow[column - 1] + (left[row - 1] === right[column - 1] ? 0 : 1);
            currentRow.push(Math.min(substitution, previousRow[column] + 1, currentRow[column - 1] + 1));
        }
        previousRow = currentRow;
    }
    return previousRow[right.length];
}
