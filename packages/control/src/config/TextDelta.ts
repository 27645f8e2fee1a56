/** Difference between two texts as one run of replaced lines. */
export interface TextDelta {
    readonly startLine: number;
    readonly removedCount: number;
    readonly lines: readonly string[];
}

const LINE_END = "\n";

/** Computes the run of lines in which two texts differ. */
export function computeDelta(before: string, after: string): TextDelta {
    const oldLines = before.split(LINE_END);
    const newLines = after.split(LINE_END);
    const shorterLength = Math.min(oldLines.length, newLines.length);
    let prefixLength = 0;
    while (prefixLength < shorterLength && oldLines[prefixLength] === newLines[prefixLength]) {
        prefixLength++;
    }
    let suffixLength = 0;
    while (
        suffixLength < shorterLength - prefixLength && oldLines.at(-1 - suffixLength) === newLines.at(-1 - suffixLength)
    ) {
        suffixLength++;
    }
    return {
        startLine: prefixLength,
        removedCount: oldLines.length - prefixLength - suffixLength,
        lines: newLines.slice(prefixLength, newLines.length - suffixLength)
    };
}

/** Applies a delta to the text from which it was computed. */
export function applyDelta(before: string, delta: TextDelta): string {
    const lines = before.split(LINE_END);
    lines.splice(delta.startLine, delta.removedCount, ...delta.lines);
    return lines.join(LINE_END);
}
