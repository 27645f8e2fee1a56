import { structuredPatch } from "diff";

const CONTEXT_LINES = 3;
const MAX_CHANGED_LINES = 4_000;

/** Renders the hunks of a unified diff of two texts; empty when they are equal. */
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

/** Renders a line range of a hunk header; in the unified format an empty range starts at the line before it. */
function renderRange(start: number, lines: number): string {
    return `${lines === 0 ? start - 1 : start},${lines}`;
}
