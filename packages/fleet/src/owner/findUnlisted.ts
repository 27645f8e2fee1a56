import type { KnownWorker } from "../model/OwnerRow.js";
import type { WorkerEntry } from "../ports/WorkerClient.js";

/** Returns entries for the workers of a previous owner that the directory does not list and that may still run tasks. */
export function findUnlisted(
    previousWorkers: readonly KnownWorker[],
    listed: ReadonlyMap<string, WorkerEntry>
): readonly WorkerEntry[] {
    return previousWorkers.filter(known => !hasLeft(known) && !listed.has(known.id)).map(unlistedEntry);
}

/** Returns whether a worker that the directory does not list was draining without a task, so that nothing runs there. */
function hasLeft({ draining, tasks }: KnownWorker): boolean {
    return draining && tasks?.length === 0;
}

/** Creates an entry for a worker that the directory does not list; it is draining, so nothing is started there. */
function unlistedEntry(known: KnownWorker): WorkerEntry {
    return {
        ...known,
        pool: "",
        failureDomain: "",
        draining: true,
        capacity: { cpuMilli: 0, memoryMb: 0, accelerators: 0 },
        labels: [],
        rack: ""
    };
}
