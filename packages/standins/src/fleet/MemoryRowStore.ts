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

/** Faults of the store; they may change at any time. */
export interface RowStoreFaults {
    /** Nobody is answered. */
    down: boolean;
    /** These machines are refused at once. */
    readonly refusedMachines: Set<string>;
    /** These machines are never answered. */
    readonly cutMachines: Set<string>;
    /** Share of the writes that are done and not answered. */
    lostReplyShare: number;
    /** Share of the writes that are not answered and done seconds later, if their conditions still hold. */
    lateShare: number;
    answerMs: number;
}

const LATE_DELAY_MS = { minimum: 1000, spread: 5000 };
const POLL_INTERVAL_MS = 5;

/** Transactional store with a feed of changes, in memory, with faults. */
export class MemoryRowStore {
    public readonly faults: RowStoreFaults = {
        down: false,
        refusedMachines: new Set(),
        cutMachines: new Set(),
        lostReplyShare: 0,
        lateShare: 0,
        answerMs: 4
    };
    private readonly rows = new Map<string, StoredRow>();
    private history: RowChange[] = [];
    private compactedVersion = 0;
    private version = 0;
    private callCount = 0;

    constructor(private readonly timer: TimerService, private readonly random: RandomSource) {}

    /** Number of calls so far. */
    public get calls(): number {
        return this.callCount;
    }

    /** The store as a machine reaches it. */
    public view(machine: string): RowStore {
        return {
            commit: (conditions, writes, timeoutMs) => this.commit(machine, conditions, writes, timeoutMs),
            read: (range, timeoutMs) => this.answer(machine, timeoutMs, () => ok(this.readRange(range))),
            changes: (table, after, waitMs, timeoutMs) => this.changes(machine, table, after, waitMs, timeoutMs)
        };
    }

    /** Writes a row as the platform's own parts do. */
    public put(rowKey: RowKey, value: string | undefined): void {
        this.apply([{ ...rowKey, value }]);
    }

    public get(rowKey: RowKey): StoredRow | undefined {
        return this.rows.get(keyOf(rowKey));
    }

    /** Forgets the history of changes. */
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
        });
    }

    private async answer<T>(
        machine: string,
        timeoutMs: number,
        operation: () => Result<T, StoreFailure>
    ): Promise<Result<T, StoreFailure>> {
        this.callCount++;
        if (this.faults.refusedMachines.has(machine)) {
            await sleep(this.timer, 1);
            return failure(StoreFailureKind.Unavailable);
        }
        if (this.faults.down || this.faults.cutMachines.has(machine)) {
            await sleep(this.timer, timeoutMs);
            return failure(StoreFailureKind.Uncertain);
        }
        await sleep(this.timer, this.faults.answerMs / 2);
        const result = operation();
        await sleep(this.timer, this.faults.answerMs / 2);
        return result;
    }

    private isBlocked(machine: string): boolean {
        return this.faults.refusedMachines.has(machine) || this.faults.cutMachines.has(machine);
    }

    private hasChangesAfter(table: string, afterVersion: number): boolean {
        return afterVersion < this.compactedVersion
            || this.history.some(change => change.table === table && change.version > afterVersion);
    }

    private transact(conditions: readonly RowCondition[], writes: readonly RowWrite[]): Result<number, StoreFailure> {
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
