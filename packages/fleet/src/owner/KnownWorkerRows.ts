import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { readTable } from "../config/readTable.js";
import type { KnownWorker } from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable } from "../model/Tables.js";
import type { RowStore, RowWrite, StoredRow } from "../ports/RowStore.js";

/** Number of rows that hold the known workers, so that a change of one worker rewrites a small part of the list. */
const GROUP_COUNT = 64;
/** Maximum number of these rows in one transaction; a new owner, which writes all of them, needs several. */
export const MAX_GROUPS_PER_COMMIT = 16;
/** Maximum size of these rows in one transaction, which also has those of jobs: the platform accepts 1 MB. */
const MAX_BYTES_PER_COMMIT = 200_000;
/** Stays below the platform's limit of 64 KiB a row. */
const MAX_ROW_BYTES = 48 * 1024;
const HASH_FACTOR = 31;
const READ_TIMEOUT_MS = 1500;
const READ_RETRY_DELAY_MS = 100;

/** Rows to write and what they change once they are committed. */
export interface KnownWorkerUpdate {
    readonly writes: readonly RowWrite[];
    /** Contents of the written rows, by number of the group. */
    readonly written: ReadonlyMap<number, readonly KnownWorker[]>;
    /** Workers whose entry in the store is the listed one, once the rows are committed. */
    readonly stored: readonly KnownWorker[];
}

/** Tracks which rows of the known workers differ from the store, so that only these are written. */
export class KnownWorkerRows {
    private readonly committed = new Map<number, readonly KnownWorker[]>();
    private readonly groupById = new Map<string, number>();

    /** Whether the store holds a row of this owner for every group. */
    public get complete(): boolean {
        return this.committed.size === GROUP_COUNT;
    }

    /** Returns the rows to write for a list of workers; those beyond the limit follow with the next call. */
    public prepare(workers: readonly KnownWorker[]): KnownWorkerUpdate {
        const writes: RowWrite[] = [];
        const written = new Map<number, readonly KnownWorker[]>();
        const stored: KnownWorker[] = [];
        let totalBytes = 0;
        for (const [group, members] of this.groupWorkers(workers).entries()) {
            const committed = this.committed.get(group);
            if (committed && isSameList(committed, members)) {
                stored.push(...committed);
                continue;
            }
            const { value, listed } = encodeGroup(members);
            if (committed && isSameList(committed, listed)) {
                stored.push(...committed);
            }
            else if (writes.length < MAX_GROUPS_PER_COMMIT && totalBytes + value.length <= MAX_BYTES_PER_COMMIT) {
                totalBytes += value.length;
                writes.push({ ...groupRowKey(group), value });
                written.set(group, listed);
                stored.push(...listed);
            }
        }
        return { writes, written, stored };
    }

    /** Records that an update was committed. */
    public confirm({ written }: KnownWorkerUpdate): void {
        for (const [group, members] of written) {
            this.committed.set(group, members);
        }
    }

    /** Records that an update may have been committed or not; its rows are written again. */
    public forget({ written }: KnownWorkerUpdate): void {
        for (const group of written.keys()) {
            this.committed.delete(group);
        }
    }

    private groupWorkers(workers: readonly KnownWorker[]): KnownWorker[][] {
        const groups = Array.from({ length: GROUP_COUNT }, (): KnownWorker[] => []);
        for (const worker of workers) {
            let group = this.groupById.get(worker.id);
            if (group === undefined) {
                group = hashId(worker.id) % GROUP_COUNT;
                this.groupById.set(worker.id, group);
            }
            groups[group]!.push(worker);
        }
        return groups;
    }
}

/** Reads the workers from the rows of a table; a row that can't be parsed names none. */
export function parseKnownWorkers(rows: readonly StoredRow[]): readonly KnownWorker[] {
    return rows.flatMap(row => {
        try {
            const workers = JSON.parse(row.value) as unknown;
            return Array.isArray(workers) ? workers as KnownWorker[] : [];
        }
        catch {
            return [];
        }
    });
}

/**
 * Reads the workers that the previous owner has written, with retries until the store answers; undefined when the owner
 * was stopped before. Nobody else writes them while this process owns the fleet.
 */
export async function readKnownWorkers(
    store: RowStore,
    timer: TimerService,
    isStopped: () => boolean
): Promise<readonly KnownWorker[] | undefined> {
    while (!isStopped()) {
        const content = await readTable(store, FleetTable.KnownWorkers, FLEET_PARTITION, READ_TIMEOUT_MS);
        if (content.isOk()) {
            return parseKnownWorkers(content.value.rows);
        }
        await sleep(timer, READ_RETRY_DELAY_MS);
    }
    return undefined;
}

function groupRowKey(group: number): Omit<RowWrite, "value"> {
    return { table: FleetTable.KnownWorkers, partition: FLEET_PARTITION, key: String(group).padStart(2, "0") };
}

/** Encodes a group; the tasks are left out if the row were too large, so that they count as unknown. */
function encodeGroup(members: readonly KnownWorker[]): {
    readonly value: string;
    readonly listed: readonly KnownWorker[];
} {
    const value = JSON.stringify(members);
    if (value.length <= MAX_ROW_BYTES) {
        return { value, listed: members };
    }
    const listed = members.map(worker => ({ ...worker, tasks: undefined }));
    return { value: JSON.stringify(listed), listed };
}

function hashId(id: string): number {
    let hash = 0;
    for (let index = 0; index < id.length; index++) {
        hash = (hash * HASH_FACTOR + id.charCodeAt(index)) >>> 0;
    }
    return hash;
}

function isSameList(left: readonly KnownWorker[], right: readonly KnownWorker[]): boolean {
    return left.length === right.length && left.every((worker, index) => isSameWorker(worker, right[index]!));
}

function isSameWorker(left: KnownWorker, right: KnownWorker): boolean {
    return left.id === right.id && left.address === right.address && left.incarnation === right.incarnation
        && left.draining === right.draining && isSameTasks(left.tasks, right.tasks);
}

function isSameTasks(left: readonly string[] | undefined, right: readonly string[] | undefined): boolean {
    return left === undefined || right === undefined
        ? left === right
        : left.length === right.length && left.every((task, index) => task === right[index]);
}
