const TABLE_HEADER = /^\s*\[/;
const QUOTED_OR_COMMENT = /"(?:[^"\\]|\\.)*"|'[^']*'|#.*/g;
const MULTILINE_QUOTE = /"""|'''/g;
const OPENING_BRACKET = /[[{]/g;
const CLOSING_BRACKET = /[\]}]/g;

/** Returns whether a line is a table header. */
export function isTableHeader(line: string): boolean {
    return TABLE_HEADER.test(line);
}

/**
 * Returns the index after the block that starts at a faulty line: a whole table for a table header, all lines of a
 * multi-line value, otherwise the line alone.
 */
export function findFaultyBlockEnd(lines: readonly string[], firstIndex: number): number {
    if (isTableHeader(lines[firstIndex])) {
        return findIndexFrom(lines, firstIndex + 1, isTableHeader) ?? lines.length;
    }
    if (countMatches(lines[firstIndex], MULTILINE_QUOTE) === 1) {
        const lastIndex = findIndexFrom(lines, firstIndex + 1, line => countMatches(line, MULTILINE_QUOTE) > 0);
        return (lastIndex ?? firstIndex) + 1;
    }
    return findBalancedValueEnd(lines, firstIndex);
}

/** Returns the index after the line that closes all brackets of a value, or after its first line if none does. */
function findBalancedValueEnd(lines: readonly string[], firstIndex: number): number {
    let openBrackets = 0;
    for (let index = firstIndex; index < lines.length; index++) {
        const code = lines[index].replace(QUOTED_OR_COMMENT, "");
        openBrackets += countMatches(code, OPENING_BRACKET) - countMatches(code, CLOSING_BRACKET);
        if (openBrackets <= 0) {
            return index + 1;
        }
    }
    return firstIndex + 1;
}

function findIndexFrom(
    lines: readonly string[],
    firstIndex: number,
    predicate: (line: string) => boolean
): number | undefined {
    const offset = lines.slice(firstIndex).findIndex(predicate);
    return offset < 0 ? undefined : firstIndex + offset;
}

function countMatches(text: string, pattern: RegExp): number {
    return text.match(pattern)?.length ?? 0;
}
