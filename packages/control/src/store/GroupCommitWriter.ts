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
import { Pace } from "./Pace.js";

/** Why a write did not take effect. */
export enum WriteErrorKind {
    /** A condition of the write did not hold. */
    Conflict = "conflict",
    /** The store could not be reached in time; nothing was written. */
    Unavailable = "unavailable",
    /** Too many writes wait; nothing was written. */
    QueueFull = "queue-full"
}

/** Failure of a write: it did not and will not take effect. */
export interface WriteError {
    readonly kind: WriteErrorKind;
    readonly message: string;
}

/** Write that joins a group commit; the functions are called when its batch is composed. */
export interface WriteOperation {
    readonly conditions: () => readonly TableCondition[];
    readonly mutations: () => readonly TableMutation[];
    /** Called before the next batch is composed. */
    readonly onCommitted?: (receipt: CommitReceipt) => void;
}

/** Options of a group-commit writer. */
export interface GroupCommitOptions {
    readonly writeQueueLimitMs: number;
    readonly writeQueueLength: number;
    readonly writeBatchLength: number;
    /** Transactions a second in the long run; a shared store serves several hundred for all processes. */
    readonly writesPerSecond: number;
    /** Transactions that may follow each other without a wait after a quiet time. */
    readonly writeBurst: number;
    readonly retryDelayMs: number;
    readonly retryDelayLimitMs: number;
}

/** Counts of a group-commit writer. */
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

/** Transaction that was sent, with the writes that it holds. */
interface SentBatch {
    readonly writeId: string;
    readonly writes: readonly PendingWrite[];
}

type BatchOutcome =
    | { readonly kind: "committed"; readonly receipt: CommitReceipt; readonly writes: readonly PendingWrite[]; }
    | { readonly kind: "conflict"; readonly failedConditions: ReadonlySet<number>; readonly ambiguous: boolean; }
    | { readonly kind: "unavailable"; };

const NOT_REACHED: WriteError = {
    kind: WriteErrorKind.Unavailable,
    message: "The table service cannot be reached; nothing was written."
};
const CONFLICT: WriteError = { kind: WriteErrorKind.Conflict, message: "A condition of the write did not hold." };
const QUEUE_FULL: WriteError = { kind: WriteErrorKind.QueueFull, message: "Too many writes wait." };

/** Writes to the table service with at most one transaction in flight; what arrives meanwhile joins the next. */
export class GroupCommitWriter {
    private readonly backoff: Backoff;
    private readonly pace: Pace;
    private queue: PendingWrite[] = [];
    private expiry: Disposable | undefined;
    private running = false;
    private stopped = false;
    private markerVersion = 0;
    private nextWriteNumber = 1;
    private unreachableSinceMs: number | undefined;
    private nextProbeMs = 0;
    private counts = { transactions: 0, operations: 0, readBacks: 0 };

    constructor(
        private readonly table: TableService,
        private readonly timer: TimerService,
        private readonly writerId: string,
        private readonly options: GroupCommitOptions,
        random: RandomSource,
        private readonly log: EventLog
    ) {
        this.pace = new Pace(timer, options.writesPerSecond, options.writeBurst);
        this.backoff = new Backoff(options.retryDelayMs, options.retryDelayLimitMs, random);
    }

    /** Tells whether the last call reached the store. */
    public get isReachable(): boolean {
        return this.unreachableSinceMs === undefined;
    }

    /** Tells whether nothing waits or is in flight. */
    public get isIdle(): boolean {
        return !this.running && this.queue.length === 0;
    }

    /** Writes so far. */
    public get writeCounts(): GroupCommitCounts {
        return { ...this.counts };
    }

    /** Adds a write to the next batch; resolves once it is certain whether it took effect. */
    public submit(operation: WriteOperation): Promise<Result<CommitReceipt, WriteError>> {
        if (this.stopped || this.queue.length >= this.options.writeQueueLength) {
            return Promise.resolve(err(QUEUE_FULL));
        }
        if (this.isCircuitOpen && this.timer.nowMs() < this.nextProbeMs) {
            return Promise.resolve(err(NOT_REACHED));
        }
        return new Promise(resolve => {
            this.queue.push({ operation, queuedAtMs: this.timer.nowMs(), resolve });
            this.watchExpiry();
            void this.run();
        });
    }

    /** Ends the writer, as when its process dies; nothing more is sent. */
    public stop(): void {
        this.stopped = true;
        this.expiry?.dispose();
    }

    /** The store has been out of reach for so long that only a probe now and then is sent. */
    private get isCircuitOpen(): boolean {
        return this.unreachableSinceMs !== undefined
            && this.timer.nowMs() - this.unreachableSinceMs >= this.options.writeQueueLimitMs;
    }

    private async run(): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        while (this.queue.length > 0 && !this.stopped) {
            await Promise.resolve();
            await this.pace.take();
            if (this.stopped) {
                return;
            }
            await this.commitBatch(this.takeBatch());
            if (this.isCircuitOpen) {
                rejectAll(this.queue.splice(0), NOT_REACHED);
            }
        }
        this.running = false;
    }

    /** Refuses writes that were never sent within their time, as when a call to the store hangs. */
    private watchExpiry(): void {
        const oldest = this.queue[0];
        if (this.expiry || !oldest || this.stopped) {
            return;
        }
        const dueMs = oldest.queuedAtMs + this.options.writeQueueLimitMs;
        this.expiry = this.timer.after(dueMs - this.timer.nowMs(), () => {
            this.expiry = undefined;
            this.expire();
            this.watchExpiry();
        });
    }

    private expire(): void {
        const latestMs = this.timer.nowMs() - this.options.writeQueueLimitMs;
        const expired = this.queue.filter(pending => pending.queuedAtMs <= latestMs);
        this.queue = this.queue.filter(pending => pending.queuedAtMs > latestMs);
        rejectAll(expired, NOT_REACHED);
    }

    /** Takes the next batch; a write with a condition on a row that an earlier one writes waits for the next one. */
    private takeBatch(): readonly PendingWrite[] {
        const batch: PendingWrite[] = [];
        const waiting: PendingWrite[] = [];
        const writtenRows = new Set<string>();
        const heldRows = new Set<string>();
        for (const pending of this.queue) {
            if (batch.length >= this.options.writeBatchLength) {
                waiting.push(pending);
                continue;
            }
            const rows = rowsOf(pending.operation);
            const mustWait = rows.conditional.some(row => writtenRows.has(row) || heldRows.has(row))
                || rows.written.some(row => heldRows.has(row));
            (mustWait ? waiting : batch).push(pending);
            for (const row of rows.written) {
                (mustWait ? heldRows : writtenRows).add(row);
            }
        }
        this.queue = waiting;
        return batch;
    }

    private async commitBatch(batch: readonly PendingWrite[]): Promise<void> {
        const sent: SentBatch[] = [];
        let remaining = batch;
        let rejected: readonly PendingWrite[] = [];
        while (remaining.length > 0 || rejected.length > 0) {
            const composed = this.compose(remaining);
            sent.push({ writeId: composed.writeId, writes: remaining });
            const outcome = await this.send(composed.transaction, sent, rejected.length > 0);
            if (outcome.kind === "committed") {
                this.finish(outcome.writes, outcome.receipt);
                rejectAll(rejected.filter(pending => !outcome.writes.includes(pending)), CONFLICT);
                return;
            }
            if (outcome.kind === "unavailable") {
                rejectAll(remaining, NOT_REACHED);
                return;
            }
            const places = composed.placesHit(outcome.failedConditions);
            const failed = places.map(place => remaining[place]!);
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

    private finish(batch: readonly PendingWrite[], receipt: CommitReceipt): void {
        this.counts.transactions++;
        this.counts.operations += batch.length;
        for (const pending of batch) {
            pending.operation.onCommitted?.(receipt);
        }
        for (const pending of batch) {
            pending.resolve(ok(receipt));
        }
    }

    /** Sends a transaction until its outcome is certain, or gives it up when it certainly took no effect. */
    private async send(
        transaction: TableTransaction,
        sent: readonly SentBatch[],
        mustReach: boolean
    ): Promise<BatchOutcome> {
        const { writes } = sent.at(-1)!;
        let ambiguous = mustReach;
        for (;;) {
            const result = await this.table.commit(transaction);
            if (result.isOk()) {
                return this.committed(result.value, writes);
            }
            if (result.error.kind === StoreErrorKind.Conflict) {
                const failedConditions = new Set(result.error.failedConditions ?? []);
                if (!failedConditions.has(0)) {
                    this.noteReachable(true);
                    return { kind: "conflict", failedConditions, ambiguous };
                }
                const outcome = await this.readBack(sent);
                if (outcome) {
                    return outcome;
                }
            }
            ambiguous ||= result.error.kind === StoreErrorKind.ReplyLost;
            this.noteReachable(false);
            const delayMs = this.backoff.next();
            this.nextProbeMs = this.timer.nowMs() + delayMs;
            if (!ambiguous && (this.isCircuitOpen || this.isTooOld(writes))) {
                return { kind: "unavailable" };
            }
            await sleep(this.timer, delayMs);
            if (this.stopped) {
                return new Promise(() => undefined);
            }
        }
    }

    private committed(receipt: CommitReceipt, writes: readonly PendingWrite[]): BatchOutcome {
        this.noteReachable(true);
        this.markerVersion = receipt.version;
        return { kind: "committed", receipt, writes };
    }

    /** Finds out which of the sent transactions took effect; an earlier one may have arrived late. */
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
        return this.committed({ version }, found.writes);
    }

    private isTooOld(batch: readonly PendingWrite[]): boolean {
        const oldest = batch[0]?.queuedAtMs ?? this.timer.nowMs();
        return this.timer.nowMs() - oldest >= this.options.writeQueueLimitMs;
    }

    private noteReachable(reachable: boolean): void {
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
    private readonly ends: number[] = [];

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
            this.ends.push(conditions.length);
        }
        this.transaction = { conditions, mutations: keepLast(mutations) };
    }

    /** Places of the operations with a failed condition. */
    public placesHit(failedConditions: ReadonlySet<number>): readonly number[] {
        const failed = [...failedConditions];
        return rangeOf(this.ends.length).filter(place => {
            const start = place === 0 ? 1 : this.ends[place - 1]!;
            return failed.some(condition => condition >= start && condition < this.ends[place]!);
        });
    }
}

/** Of several writes of one row the last one counts. */
function keepLast(mutations: readonly TableMutation[]): readonly TableMutation[] {
    return [...new Map(mutations.map(mutation => [rowNameOf(mutation), mutation])).values()];
}

function rowsOf(
    operation: WriteOperation
): { readonly conditional: readonly string[]; readonly written: readonly string[]; } {
    return { conditional: operation.conditions().map(rowNameOf), written: operation.mutations().map(rowNameOf) };
}

function rowNameOf(place: { readonly table: string; readonly key: string; }): string {
    return `${place.table}/${place.key}`;
}

function rejectAll(batch: readonly PendingWrite[], error: WriteError): void {
    for (const pending of batch) {
        pending.resolve(err(error));
    }
}
