/** Change of a text as one run of replaced lines. */
export interface TextDelta {
    readonly startLine: number;
    readonly removedCount: number;
    readonly lines: readonly string[];
}

const LINE_END = "\n";

/** Computes the run of lines in which two texts differ. */
export function deltaBetween(before: string, after: string): TextDelta {
    const oldLines = before.split(LINE_END);
    const newLines = after.split(LINE_END);
    const shortest = Math.min(oldLines.length, newLines.length);
    let start = 0;
    while (start < shortest && oldLines[start] === newLines[start]) {
        start++;
    }
    let end = 0;
    while (end < shortest - start && oldLines.at(-1 - end) === newLines.at(-1 - end)) {
        end++;
    }
    return {
        startLine: start,
        removedCount: oldLines.length - start - end,
        lines: newLines.slice(start, newLines.length - end)
    };
}

/** Applies a change to the text that it was computed from. */
export function applyDelta(before: string, delta: TextDelta): string {
    const lines = before.split(LINE_END);
    lines.splice(delta.startLine, delta.removedCount, ...delta.lines);
    return lines.join(LINE_END);
}
