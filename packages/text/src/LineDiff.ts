import { structuredPatch } from "diff";

const CONTEXT_LINES = 3;
const MAX_CHANGED_LINES = 4_000;

/** Renders the difference of two texts line by line; empty when they are equal. */
export function renderLineDiff(oldText: string, newText: string): string {
    const options = { context: CONTEXT_LINES, maxEditLength: MAX_CHANGED_LINES };
    const patch = structuredPatch("", "", oldText, newText, undefined, undefined, options);
    if (patch === undefined) {
        return `more than ${MAX_CHANGED_LINES} lines differ`;
    }
    return patch.hunks.map(hunk => {
        const oldRange = renderRange(hunk.oldStart, hunk.oldLines);
        const header = `@@ -${oldRange} +${renderRange(hunk.newStart, hunk.newLines)} @@`;
        return [header, ...hunk.lines].join("\n");
    }).join("\n");
}

/** Renders a range of lines in the unified form, where an empty range names the line before it. */
function renderRange(start: number, lines: number): string {
    return `${lines === 0 ? start - 1 : start},${lines}`;
}
