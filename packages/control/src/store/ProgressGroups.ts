import type { TaskProgress } from "./RequestStore.js";

/** Groups task progress by request ID. */
export function groupByRequest(entries: readonly TaskProgress[]): ReadonlyMap<string, readonly TaskProgress[]> {
    const groups = new Map<string, TaskProgress[]>();
    for (const entry of entries) {
        const group = groups.get(entry.requestId);
        if (group) {
            group.push(entry);
        }
        else {
            groups.set(entry.requestId, [entry]);
        }
    }
    return groups;
}
