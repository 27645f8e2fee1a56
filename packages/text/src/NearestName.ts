/** Returns the known name with the smallest edit distance (Levenshtein) from the given one. */
export function findNearestName(name: string, knownNames: Iterable<string>): string | undefined {
    let nearest: string | undefined;
    let shortestDistance = Number.POSITIVE_INFINITY;
    for (const knownName of knownNames) {
        const distance = computeEditDistance(name.slice(0, MAX_COMPARED_CHARACTERS), knownName);
        if (distance < shortestDistance) {
            nearest = knownName;
            shortestDistance = distance;
        }
    }
    return nearest;
}

const MAX_COMPARED_CHARACTERS = 64;

function computeEditDistance(left: string, right: string): number {
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
