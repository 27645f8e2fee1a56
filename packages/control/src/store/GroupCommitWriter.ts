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
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { err, ok, type Result } from "neverthrow";
import { Backoff } from "./Backoff.js";

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

type BatchOutcome =
    | { readonly kind: "committed"; readonly receipt: CommitReceipt; }
    | { readonly kind: "conflict"; readonly failedConditions: ReadonlySet<number>; readonly ambiguous: boolean; }
    | { readonly kind: "unavailable"; };

const NOT_REACHED = "The table service cannot be reached; nothing was written.";

/** Writes to the table service with at most one transaction in flight; what arrives meanwhile joins the next. */
export class GroupCommitWriter {
    private readonly backoff: Backoff;
    private queue: PendingWrite[] = [];
    private running = false;
    private stopped = false;
    private markerVersion = 0;
    private nextWriteNumber = 1;
    private reachable = true;
    private counts = { transactions: 0, operations: 0, readBacks: 0 };

    constructor(
        private readonly table: TableService,
        private readonly timer: TimerService,
        private readonly writerId: string,
        private readonly options: GroupCommitOptions,
        private readonly log: EventLog
    ) {
        this.backoff = new Backoff(options.retryDelayMs, options.retryDelayLimitMs);
    }

    /** Tells whether the last call reached the store. */
    public get isReachable(): boolean {
        return this.reachable;
    }

    /** Writes so far. */
    public get writeCounts(): GroupCommitCounts {
        return { ...this.counts };
    }

    /** Adds a write to the next batch; resolves once it is certain whether it took effect. */
    public submit(operation: WriteOperation): Promise<Result<CommitReceipt, WriteError>> {
        if (this.stopped || this.queue.length >= this.options.writeQueueLength) {
            return Promise.resolve(err({ kind: WriteErrorKind.QueueFull, message: "Too many writes wait." }));
        }
        return new Promise(resolve => {
            this.queue.push({ operation, queuedAtMs: this.timer.nowMs(), resolve });
            void this.run();
        });
    }

    /** Ends the writer, as when its process dies; nothing more is sent. */
    public stop(): void {
        this.stopped = true;
    }

    private async run(): Promise<void> {
        if (this.running) {
            return;
        }
        this.running = true;
        while (this.queue.length > 0 && !this.stopped) {
            await Promise.resolve();
            await this.commitBatch(this.takeBatch());
        }
        this.running = false;
    }

    /** Takes the next batch; a write that touches a row written earlier in the batch waits for the next one. */
    private takeBatch(): readonly PendingWrite[] {
        const batch: PendingWrite[] = [];
        const waiting: PendingWrite[] = [];
        const writtenRows = new Set<string>();
        const heldRows = new Set<string>();
        for (const pending of this.queue) {
            const rows = rowsOf(pending.operation);
            const mustWait = batch.length >= this.options.writeBatchLength
                || rows.touched.some(row => writtenRows.has(row) || heldRows.has(row));
            (mustWait ? waiting : batch).push(pending);
            for (const row of rows.written) {
                (mustWait ? heldRows : writtenRows).add(row);
            }
        }
        this.queue = waiting;
        return batch;
    }

    private async commitBatch(batch: readonly PendingWrite[]): Promise<void> {
        let remaining = batch;
        let rejected: readonly PendingWrite[] = [];
        while (remaining.length > 0 || rejected.length > 0) {
            const composed = this.compose(remaining);
            const outcome = await this.send(composed.transaction, remaining, rejected.length > 0);
            if (outcome.kind === "committed") {
                this.finish(remaining, outcome.receipt);
                rejectAll(rejected, {
                    kind: WriteErrorKind.Conflict,
                    message: "A condition of the write did not hold."
                });
                return;
            }
            if (outcome.kind === "unavailable") {
                rejectAll(remaining, { kind: WriteErrorKind.Unavailable, message: NOT_REACHED });
                rejectAll(rejected, {
                    kind: WriteErrorKind.Conflict,
                    message: "A condition of the write did not hold."
                });
                return;
            }
            const failed: PendingWrite[] = [];
            remaining.forEach((pending, place) => {
                if (composed.isHit(place, outcome.failedConditions)) {
                    failed.push(pending);
                }
            });
            if (failed.length === 0) {
                await sleep(this.timer, this.backoff.next());
            }
            remaining = remaining.filter(pending => !failed.includes(pending));
            if (outcome.ambiguous) {
                rejected = [...rejected, ...failed];
            }
            else {
                rejectAll(failed, { kind: WriteErrorKind.Conflict, message: "A condition of the write did not hold." });
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

    private async send(
        transaction: TableTransaction,
        batch: readonly PendingWrite[],
        mustReach: boolean
    ): Promise<BatchOutcome> {
        let ambiguous = mustReach;
        for (;;) {
            const result = await this.table.commit(transaction);
            if (result.isOk()) {
                return this.committed(result.value);
            }
            if (result.error.kind === StoreErrorKind.Conflict) {
                const failedConditions = new Set(result.error.failedConditions ?? []);
                if (!failedConditions.has(0)) {
                    this.noteReachable(true);
                    return { kind: "conflict", failedConditions, ambiguous };
                }
                const receipt = await this.readBack(transaction);
                if (receipt) {
                    return this.committed(receipt);
                }
            }
            ambiguous ||= result.error.kind === StoreErrorKind.ReplyLost;
            this.noteReachable(false);
            if (!ambiguous && this.isTooOld(batch)) {
                return { kind: "unavailable" };
            }
            await sleep(this.timer, this.backoff.next());
            if (this.stopped) {
                return new Promise(() => undefined);
            }
        }
    }

    private committed(receipt: CommitReceipt): BatchOutcome {
        this.noteReachable(true);
        this.markerVersion = receipt.version;
        return { kind: "committed", receipt };
    }

    private async readBack(transaction: TableTransaction): Promise<CommitReceipt | undefined> {
        const marker = await this.table.read(TableName.Writers, this.writerId);
        const expected = transaction.mutations[0]!.value;
        if (marker.isErr() || marker.value?.value !== expected) {
            return undefined;
        }
        this.counts.readBacks++;
        this.log.write(EVENTS.storeReadBack, { writeId: String(expected) });
        return { version: marker.value!.version };
    }

    private isTooOld(batch: readonly PendingWrite[]): boolean {
        const oldest = batch[0]?.queuedAtMs ?? this.timer.nowMs();
        return this.timer.nowMs() - oldest >= this.options.writeQueueLimitMs;
    }

    private noteReachable(reachable: boolean): void {
        if (reachable) {
            this.backoff.reset();
        }
        if (reachable !== this.reachable) {
            this.reachable = reachable;
            this.log.write(reachable ? EVENTS.storeAvailable : EVENTS.storeUnavailable);
        }
    }
}

class ComposedBatch {
    private readonly ends: number[] = [];

    public readonly transaction: TableTransaction;

    constructor(writerId: string, writeId: string, markerVersion: number, operations: readonly WriteOperation[]) {
        const conditions: TableCondition[] = [{ table: TableName.Writers, key: writerId, version: markerVersion }];
        const mutations: TableMutation[] = [{ table: TableName.Writers, key: writerId, value: writeId }];
        for (const operation of operations) {
            conditions.push(...operation.conditions());
            mutations.push(...operation.mutations());
            this.ends.push(conditions.length);
        }
        this.transaction = { conditions, mutations };
    }

    public isHit(place: number, failedConditions: ReadonlySet<number>): boolean {
        const start = place === 0 ? 1 : this.ends[place - 1]!;
        for (let condition = start; condition < this.ends[place]!; condition++) {
            if (failedConditions.has(condition)) {
                return true;
            }
        }
        return false;
    }
}

function rowsOf(
    operation: WriteOperation
): { readonly touched: readonly string[]; readonly written: readonly string[]; } {
    const written = operation.mutations().map(rowNameOf);
    return { touched: [...written, ...operation.conditions().map(rowNameOf)], written };
}

function rowNameOf(place: { readonly table: string; readonly key: string; }): string {
    return `${place.table}/${place.key}`;
}

function rejectAll(batch: readonly PendingWrite[], error: WriteError): void {
    for (const pending of batch) {
        pending.resolve(err(error));
    }
}
