import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import {
    type RowChange,
    type RowChanges,
    type RowCondition,
    type RowKey,
    type RowPage,
    type RowRange,
    type RowStore,
    type RowWrite,
    type StoredRow,
    type StoreFailure,
    StoreFailureKind
} from "@skylarkpath/fleet/ports/RowStore";
import { err, ok, type Result } from "neverthrow";

/** Simulated faults of the store; they may change at any time. */
export interface RowStoreFaults {
    /** No call gets a reply. */
    down: boolean;
    /** Machines whose calls are refused at once. */
    readonly refusedMachines: Set<string>;
    /** Machines whose calls never get a reply. */
    readonly isolatedMachines: Set<string>;
    /** Tables of which no read gets a reply. */
    readonly unreadableTables: Set<string>;
    /** Fraction of the commits that take effect, if their conditions hold, but get no reply. */
    lostReplyShare: number;
    /** Fraction of the commits that get no reply and take effect seconds later, if their conditions still hold. */
    lateShare: number;
    /** Time from a call to its reply. */
    answerMs: number;
}

/** A late commit is carried out after the minimum and a random part of the spread. */
const LATE_DELAY_MS = { minimum: 1000, spread: 5000 };
const POLL_INTERVAL_MS = 5;
/** Limits of the platform's store; values are sent as base64. */
const MAX_ROW_BYTES = 65_536;
const MAX_TRANSACTION_BYTES = 1_000_000;
const MAX_TRANSACTION_ENTRIES = 100;

/** Transactional store in memory, with a change feed and simulated faults. */
export class MemoryRowStore {
    public readonly faults: RowStoreFaults = {
        down: false,
        refusedMachines: new Set(),
        isolatedMachines: new Set(),
        unreadableTables: new Set(),
        lostReplyShare: 0,
        lateShare: 0,
        answerMs: 4
    };
    private readonly rows = new Map<string, StoredRow>();
    private history: RowChange[] = [];
    /** Changes up to this version are no longer in the history. */
    private compactedVersion = 0;
    private version = 0;
    private callCount = 0;
    private readCount = 0;
    private refusedCount = 0;

    constructor(private readonly timer: TimerService, private readonly random: RandomSource) {}

    /** Number of calls so far, without the commits that `lostReplyShare` and `lateShare` apply to. */
    public get calls(): number {
        return this.callCount;
    }

    /** Number of reads of rows so far. */
    public get reads(): number {
        return this.readCount;
    }

    /** Number of transactions that were refused since they or one of their rows were too large. */
    public get oversizedTransactions(): number {
        return this.refusedCount;
    }

    /** Returns the client through which a machine calls the store. */
    public clientFor(machine: string): RowStore {
        return {
            commit: (conditions, writes, timeoutMs) => this.commit(machine, conditions, writes, timeoutMs),
            read: (range, timeoutMs) => {
                this.readCount++;
                return this.answer(machine, timeoutMs, () => ok(this.readRange(range)), range.table);
            },
            changes: (table, after, waitMs, timeoutMs) => this.changes(machine, table, after, waitMs, timeoutMs)
        };
    }

    /** Writes or removes a row at once and without conditions, as the platform itself does. */
    public put(rowKey: RowKey, value: string | undefined): void {
        this.apply([{ ...rowKey, value }]);
    }

    public get(rowKey: RowKey): StoredRow | undefined {
        return this.rows.get(keyOf(rowKey));
    }

    /** Drops the change history; a call for changes after an earlier version then fails with `HistoryLost`. */
    public compact(): void {
        this.history = [];
        this.compactedVersion = this.version;
    }

    private async commit(
        machine: string,
        conditions: readonly RowCondition[],
        writes: readonly RowWrite[],
        timeoutMs: number
    ): Promise<Result<number, StoreFailure>> {
        const isLate = this.random.next() < this.faults.lateShare;
        const isReplyLost = this.random.next() < this.faults.lostReplyShare;
        if ((isLate || isReplyLost) && !this.faults.down && !this.isBlocked(machine)) {
            const delayMs = isLate
                ? LATE_DELAY_MS.minimum + this.random.next() * LATE_DELAY_MS.spread
                : this.faults.answerMs;
            this.timer.after(delayMs, () => this.transact(conditions, writes));
            await sleep(this.timer, timeoutMs);
            return failure(StoreFailureKind.Uncertain);
        }
        return this.answer(machine, timeoutMs, () => this.transact(conditions, writes));
    }

    private async changes(
        machine: string,
        table: string,
        afterVersion: number,
        waitMs: number,
        timeoutMs: number
    ): Promise<Result<RowChanges, StoreFailure>> {
        const endMs = this.timer.nowMs() + waitMs;
        while (this.timer.nowMs() < endMs && !this.hasChangesAfter(table, afterVersion) && !this.faults.down) {
            await sleep(this.timer, POLL_INTERVAL_MS);
        }
        return this.answer(machine, timeoutMs, () => {
            if (afterVersion < this.compactedVersion) {
                return failure(StoreFailureKind.HistoryLost);
            }
            const changes = this.history.filter(change => change.table === table && change.version > afterVersion);
            return ok({ changes, version: this.version });
        }, table);
    }

    private async answer<T>(
        machine: string,
        timeoutMs: number,
        operation: () => Result<T, StoreFailure>,
        readTable?: string
    ): Promise<Result<T, StoreFailure>> {
        this.callCount++;
        if (this.faults.refusedMachines.has(machine)) {
            await sleep(this.timer, 1);
            return failure(StoreFailureKind.Unavailable);
        }
        const isUnreadable = readTable !== undefined && this.faults.unreadableTables.has(readTable);
        if (this.faults.down || this.faults.isolatedMachines.has(machine) || isUnreadable) {
            await sleep(this.timer, timeoutMs);
            return failure(StoreFailureKind.Uncertain);
        }
        await sleep(this.timer, this.faults.answerMs / 2);
        const result = operation();
        await sleep(this.timer, this.faults.answerMs / 2);
        return result;
    }

    private isBlocked(machine: string): boolean {
        return this.faults.refusedMachines.has(machine) || this.faults.isolatedMachines.has(machine);
    }

    private hasChangesAfter(table: string, afterVersion: number): boolean {
        return afterVersion < this.compactedVersion
            || this.history.some(change => change.table === table && change.version > afterVersion);
    }

    private transact(conditions: readonly RowCondition[], writes: readonly RowWrite[]): Result<number, StoreFailure> {
        const sizes = writes.map(({ value = "" }) => Buffer.byteLength(value));
        const encodedBytes = sizes.reduce((sum, bytes) => sum + Math.ceil(bytes / 3) * 4, 0);
        if (
            sizes.some(bytes => bytes > MAX_ROW_BYTES) || encodedBytes > MAX_TRANSACTION_BYTES
            || conditions.length + writes.length > MAX_TRANSACTION_ENTRIES
        ) {
            this.refusedCount++;
            return failure(StoreFailureKind.Invalid);
        }
        const allHold = conditions.every(condition =>
            (this.rows.get(keyOf(condition))?.version ?? 0) === condition.version
        );
        if (!allHold) {
            const rows = conditions.flatMap(condition => this.rows.get(keyOf(condition)) ?? []);
            return failure(StoreFailureKind.Conflict, rows);
        }
        return ok(this.apply(writes));
    }

    private apply(writes: readonly RowWrite[]): number {
        const version = ++this.version;
        for (const write of writes) {
            const { table, partition, key, value } = write;
            if (value === undefined) {
                this.rows.delete(keyOf(write));
            }
            else {
                this.rows.set(keyOf(write), { table, partition, key, value, version });
            }
            this.history.push({ table, partition, key, value, version });
        }
        return version;
    }

    private readRange({ table, partition, from = "", to, limit = 500 }: RowRange): RowPage {
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.partition === partition && row.key >= from)
            .filter(row => to === undefined || row.key < to)
            .sort((left, right) => left.key < right.key ? -1 : 1);
        return { rows: rows.slice(0, limit), hasMore: rows.length > limit, version: this.version };
    }
}

function keyOf({ table, partition, key }: RowKey): string {
    return `${table}\u0000${partition}\u0000${key}`;
}

function failure<T>(kind: StoreFailureKind, rows: readonly StoredRow[] = []): Result<T, StoreFailure> {
    return err({ kind, message: kind, rows });
}
