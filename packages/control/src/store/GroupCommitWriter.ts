import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import { StoreErrorKind } from "@skylarkpath/common/platform/StoreError";
import {
    type CommitReceipt,
    type TableCondition,
    type TableMutation,
    TableName,
    type TableService,
    type TableTransaction
} from "@skylarkpath/common/platform/TableService";
import type { RandomSource } from "@skylarkpath/common/random/RandomSource";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";
import { Backoff } from "./Backoff.js";
import { RateLimiter } from "./RateLimiter.js";

/** Why a write did not take effect. */
export enum WriteErrorKind {
    /** A condition of the write did not hold. */
    Conflict = "conflict",
    /** The store could not be reached in time; nothing was written. */
    Unavailable = "unavailable",
    /** The write queue is full or the writer is stopped; nothing was written. */
    QueueFull = "queue-full"
}

/** Failure of a write, which has not taken effect and never will. */
export interface WriteError {
    readonly kind: WriteErrorKind;
    readonly message: string;
}

/** Write that shares a transaction with others; the functions are called again for each batch that is composed. */
export interface WriteOperation {
    readonly conditions: () => readonly TableCondition[];
    readonly mutations: () => readonly TableMutation[];
    /** Called once the write is committed, before the next batch is composed. */
    readonly onCommitted?: (receipt: CommitReceipt) => void;
}

/** Options of a group-commit writer. */
export interface GroupCommitOptions {
    readonly writeQueueLimitMs: number;
    readonly writeQueueLength: number;
    readonly writeBatchLength: number;
    /** Long-run limit of transactions per second; a shared store serves several hundred for all processes together. */
    readonly writesPerSecond: number;
    /** Transactions that may be sent without delay after an idle period. */
    readonly writeBurst: number;
    readonly retryDelayMs: number;
    readonly retryDelayLimitMs: number;
}

/** Counters of a group-commit writer: committed transactions and writes, and lost replies resolved by reading back. */
export interface GroupCommitCounts {
    readonly transactions: number;
    readonly operations: number;
    readonly readBacks: number;
}

interface PendingWrite {
    readonly operation: WriteOperation;
    readonly queuedAtMs: number;
    readonly resolve: (result: Result<CommitReceipt, WriteError>) => void;
}

/** Transaction that was sent, with its writes. */
interface SentBatch {
    readonly writeId: string;
    readonly writes: readonly PendingWrite[];
}

type BatchOutcome =
    | { readonly kind: "committed"; readonly receipt: CommitReceipt; readonly writes: readonly PendingWrite[]; }
    | { readonly kind: "conflict"; readonly failedConditions: ReadonlySet<number>; readonly ambiguous: boolean; }
    | { readonly kind: "unavailable"; };

const STORE_UNREACHABLE: WriteError = {
    kind: WriteErrorKind.Unavailable,
    message: "The table service cannot be reached; nothing was written."
};
const CONFLICT: WriteError = { kind: WriteErrorKind.Conflict, message: "A condition of the write did not hold." };
const QUEUE_FULL: WriteError = { kind: WriteErrorKind.QueueFull, message: "Too many writes wait." };

/** Writes to the table service with at most one transaction in flight; writes submitted meanwhile join the next one. */
export class GroupCommitWriter {
    private readonly backoff: Backoff;
    private readonly rateLimiter: RateLimiter;
    private queue: PendingWrite[] = [];
    private expiryTimer: Disposable | undefined;
    private isRunning = false;
    private stopped = false;
    private markerVersion = 0;
    private nextWriteNumber = 1;
    private unreachableSinceMs: number | undefined;
    private nextProbeAtMs = 0;
    private counts = { transactions: 0, operations: 0, readBacks: 0 };

    constructor(
        private readonly table: TableService,
        private readonly timer: TimerService,
        private readonly writerId: string,
        private readonly options: GroupCommitOptions,
        random: RandomSource,
        private readonly log: EventLog
    ) {
        this.rateLimiter = new RateLimiter(timer, options.writesPerSecond, options.writeBurst);
        this.backoff = new Backoff(options.retryDelayMs, options.retryDelayLimitMs, random);
    }

    /** Whether the last call reached the store. */
    public get isReachable(): boolean {
        return this.unreachableSinceMs === undefined;
    }

    /** Whether no write is queued or in flight. */
    public get isIdle(): boolean {
        return !this.isRunning && this.queue.length === 0;
    }

    /** Counters since the writer was created. */
    public get writeCounts(): GroupCommitCounts {
        return { ...this.counts };
    }

    /** Queues a write for the next batch; resolves once it is certain whether it took effect. */
    public submit(operation: WriteOperation): Promise<Result<CommitReceipt, WriteError>> {
        if (this.stopped || this.queue.length >= this.options.writeQueueLength) {
            return Promise.resolve(err(QUEUE_FULL));
        }
        if (this.isCircuitOpen && this.timer.nowMs() < this.nextProbeAtMs) {
            return Promise.resolve(err(STORE_UNREACHABLE));
        }
        return new Promise(resolve => {
            this.queue.push({ operation, queuedAtMs: this.timer.nowMs(), resolve });
            this.scheduleExpiry();
            void this.run();
        });
    }

    /** Stops the writer as a crash of the process would: nothing more is sent, and queued writes may never resolve. */
    public stop(): void {
        this.stopped = true;
        this.expiryTimer?.dispose();
    }

    /** Whether the store has been unreachable for so long that only occasional probes are sent. */
    private get isCircuitOpen(): boolean {
        return this.unreachableSinceMs !== undefined
            && this.timer.nowMs() - this.unreachableSinceMs >= this.options.writeQueueLimitMs;
    }

    private async run(): Promise<void> {
        if (this.isRunning) {
            return;
        }
        this.isRunning = true;
        while (this.queue.length > 0 && !this.stopped) {
            await Promise.resolve();
            await this.rateLimiter.acquire();
            if (this.stopped) {
                return;
            }
            await this.commitBatch(this.dequeueBatch());
            if (this.isCircuitOpen) {
                rejectAll(this.queue.splice(0), STORE_UNREACHABLE);
            }
        }
        this.isRunning = false;
    }

    /** Schedules the rejection of writes that stay queued for too long, for example behind a call that hangs. */
    private scheduleExpiry(): void {
        const oldest = this.queue[0];
        if (this.expiryTimer || !oldest || this.stopped) {
            return;
        }
        const expiresAtMs = oldest.queuedAtMs + this.options.writeQueueLimitMs;
        this.expiryTimer = this.timer.after(expiresAtMs - this.timer.nowMs(), () => {
            this.expiryTimer = undefined;
            this.rejectExpired();
            this.scheduleExpiry();
        });
    }

    private rejectExpired(): void {
        const expiredBeforeMs = this.timer.nowMs() - this.options.writeQueueLimitMs;
        const expired = this.queue.filter(pending => pending.queuedAtMs <= expiredBeforeMs);
        this.queue = this.queue.filter(pending => pending.queuedAtMs > expiredBeforeMs);
        rejectAll(expired, STORE_UNREACHABLE);
    }

    /**
     * Removes the next batch from the queue. A write is deferred when it has a condition on a row that an earlier write
     * changes, or when it touches a row that a deferred write changes.
     */
    private dequeueBatch(): readonly PendingWrite[] {
        const batch: PendingWrite[] = [];
        const deferred: PendingWrite[] = [];
        const writtenRows = new Set<string>();
        const deferredRows = new Set<string>();
        for (const pending of this.queue) {
            if (batch.length >= this.options.writeBatchLength) {
                deferred.push(pending);
                continue;
            }
            const rows = rowsOf(pending.operation);
            const mustDefer = rows.conditional.some(row => writtenRows.has(row) || deferredRows.has(row))
                || rows.written.some(row => deferredRows.has(row));
            (mustDefer ? deferred : batch).push(pending);
            for (const row of rows.written) {
                (mustDefer ? deferredRows : writtenRows).add(row);
            }
        }
        this.queue = deferred;
        return batch;
    }

    private async commitBatch(batch: readonly PendingWrite[]): Promise<void> {
        const sent: SentBatch[] = [];
        let remaining = batch;
        let rejected: readonly PendingWrite[] = [];
        while (remaining.length > 0 || rejected.length > 0) {
            const composed = this.compose(remaining);
            sent.push({ writeId: composed.writeId, writes: remaining });
            const outcome = await this.sendUntilCertain(composed.transaction, sent, rejected.length > 0);
            if (outcome.kind === "committed") {
                this.resolveCommitted(outcome.writes, outcome.receipt);
                rejectAll(rejected.filter(pending => !outcome.writes.includes(pending)), CONFLICT);
                return;
            }
            if (outcome.kind === "unavailable") {
                rejectAll(remaining, STORE_UNREACHABLE);
                return;
            }
            const failedIndexes = composed.findFailedOperations(outcome.failedConditions);
            const failed = failedIndexes.map(index => remaining[index]!);
            if (failed.length === 0) {
                await sleep(this.timer, this.backoff.next());
            }
            remaining = remaining.filter(pending => !failed.includes(pending));
            if (outcome.ambiguous) {
                rejected = [...rejected, ...failed];
            }
            else {
                rejectAll(failed, CONFLICT);
            }
        }
    }

    private compose(batch: readonly PendingWrite[]): ComposedBatch {
        const writeId = `${this.writerId}:${this.nextWriteNumber++}`;
        return new ComposedBatch(this.writerId, writeId, this.markerVersion, batch.map(pending => pending.operation));
    }

    private resolveCommitted(batch: readonly PendingWrite[], receipt: CommitReceipt): void {
        this.counts.transactions++;
        this.counts.operations += batch.length;
        for (const pending of batch) {
            pending.operation.onCommitted?.(receipt);
        }
        for (const pending of batch) {
            pending.resolve(ok(receipt));
        }
    }

    /**
     * Sends a transaction until its outcome is certain; gives up only when it certainly took no effect.
     * @param mayArriveLate an earlier transaction of the batch may still take effect, so that giving up is not allowed
     */
    private async sendUntilCertain(
        transaction: TableTransaction,
        sent: readonly SentBatch[],
        mayArriveLate: boolean
    ): Promise<BatchOutcome> {
        const { writes } = sent.at(-1)!;
        let ambiguous = mayArriveLate;
        for (;;) {
            const result = await this.table.commit(transaction);
            if (result.isOk()) {
                return this.recordCommitted(result.value, writes);
            }
            if (result.error.kind === StoreErrorKind.Conflict) {
                const failedConditions = new Set(result.error.failedConditions ?? []);
                if (!failedConditions.has(0)) {
                    this.updateReachable(true);
                    return { kind: "conflict", failedConditions, ambiguous };
                }
                const outcome = await this.readBack(sent);
                if (outcome) {
                    return outcome;
                }
            }
            ambiguous ||= result.error.kind === StoreErrorKind.ReplyLost;
            this.updateReachable(false);
            const delayMs = this.backoff.next();
            this.nextProbeAtMs = this.timer.nowMs() + delayMs;
            if (!ambiguous && (this.isCircuitOpen || this.hasExpired(writes))) {
                return { kind: "unavailable" };
            }
            await sleep(this.timer, delayMs);
            if (this.stopped) {
                return new Promise(() => undefined);
            }
        }
    }

    private recordCommitted(receipt: CommitReceipt, writes: readonly PendingWrite[]): BatchOutcome {
        this.updateReachable(true);
        this.markerVersion = receipt.version;
        return { kind: "committed", receipt, writes };
    }

    /** Reads from the store which of the sent transactions took effect; an earlier one may have arrived late. */
    private async readBack(sent: readonly SentBatch[]): Promise<BatchOutcome | undefined> {
        const marker = await this.table.read(TableName.Writers, this.writerId);
        if (marker.isErr() || !marker.value) {
            return undefined;
        }
        const { value, version } = marker.value;
        const found = sent.find(batch => batch.writeId === value);
        if (!found) {
            return undefined;
        }
        this.counts.readBacks++;
        this.log.write(EVENTS.storeReadBack, { writeId: found.writeId });
        return this.recordCommitted({ version }, found.writes);
    }

    private hasExpired(batch: readonly PendingWrite[]): boolean {
        const oldestQueuedAtMs = batch[0]?.queuedAtMs ?? this.timer.nowMs();
        return this.timer.nowMs() - oldestQueuedAtMs >= this.options.writeQueueLimitMs;
    }

    private updateReachable(reachable: boolean): void {
        if (reachable) {
            this.backoff.reset();
        }
        if (reachable !== this.isReachable) {
            this.unreachableSinceMs = reachable ? undefined : this.timer.nowMs();
            this.log.write(reachable ? EVENTS.storeAvailable : EVENTS.storeUnavailable);
        }
    }
}

class ComposedBatch {
    private readonly conditionEnds: number[] = [];

    public readonly transaction: TableTransaction;

    constructor(
        writerId: string,
        public readonly writeId: string,
        markerVersion: number,
        operations: readonly WriteOperation[]
    ) {
        const conditions: TableCondition[] = [{ table: TableName.Writers, key: writerId, version: markerVersion }];
        const mutations: TableMutation[] = [{ table: TableName.Writers, key: writerId, value: writeId }];
        for (const operation of operations) {
            conditions.push(...operation.conditions());
            mutations.push(...operation.mutations());
            this.conditionEnds.push(conditions.length);
        }
        this.transaction = { conditions, mutations: lastMutationPerRow(mutations) };
    }

    /** Returns the indexes of the operations with a failed condition. */
    public findFailedOperations(failedConditions: ReadonlySet<number>): readonly number[] {
        const failed = [...failedConditions];
        return rangeOf(this.conditionEnds.length).filter(index => {
            const start = index === 0 ? 1 : this.conditionEnds[index - 1]!;
            return failed.some(condition => condition >= start && condition < this.conditionEnds[index]!);
        });
    }
}

/** Returns the last mutation of each row. */
function lastMutationPerRow(mutations: readonly TableMutation[]): readonly TableMutation[] {
    return [...new Map(mutations.map(mutation => [rowIdOf(mutation), mutation])).values()];
}

function rowsOf(
    operation: WriteOperation
): { readonly conditional: readonly string[]; readonly written: readonly string[]; } {
    return { conditional: operation.conditions().map(rowIdOf), written: operation.mutations().map(rowIdOf) };
}

function rowIdOf(row: { readonly table: string; readonly key: string; }): string {
    return `${row.table}/${row.key}`;
}

function rejectAll(batch: readonly PendingWrite[], error: WriteError): void {
    for (const pending of batch) {
        pending.resolve(err(error));
    }
}
