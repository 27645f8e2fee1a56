import { structuredPatch } from "diff";

const CONTEXT_LINES = 3;
const MAXIMUM_CHANGED_LINES = 4_000;

/** Renders the difference of two texts line by line; empty when they are equal. */
export function renderLineDifference(oldText: string, newText: string): string {
    const options = { context: CONTEXT_LINES, maxEditLength: MAXIMUM_CHANGED_LINES };
    const patch = structuredPatch("", "", oldText, newText, undefined, undefined, options);
    if (patch === undefined) {
        return `more than ${MAXIMUM_CHANGED_LINES} lines differ`;
    }
    return patch.hunks.map(hunk => {
        const header = `@@ -${hunk.oldStart},${hunk.oldLines} +${hunk.newStart},${hunk.newLines} @@`;
        return [header, ...hunk.lines].join("\n");
    }).join("\n");
}
