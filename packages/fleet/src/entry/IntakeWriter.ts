import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import type { JobSpec } from "../model/JobSpec.js";
import { FLEET_PARTITION, FleetTable } from "../model/Tables.js";
import {
    type RowCondition,
    type RowStore,
    type RowWrite,
    type StoredRow,
    StoreFailureKind
} from "../ports/RowStore.js";

/** Outcome of storing a job. */
export enum IntakeOutcome {
    Written = "written",
    /** The store already has a job or an outcome with this id. */
    AlreadyStored = "known",
    /** Nothing was written. */
    Unavailable = "unavailable",
    /** The store does not take the job's row, so that nothing was written or ever will be. */
    Refused = "refused",
    /** The job may have been written, or may still be. */
    Uncertain = "unsettled"
}

/** Outcome of storing a job, with the existing row when there was one. */
export interface IntakeResult {
    readonly outcome: IntakeOutcome;
    readonly row?: StoredRow;
    /** Version of the row that was written. */
    readonly version?: number;
}

interface PendingJob {
    readonly spec: JobSpec;
    readonly bytes: number;
    readonly arrivedAtMs: number;
    readonly resolve: (result: IntakeResult) => void;
    uncertain: boolean;
    /** The store has refused a transaction with the job and others, one of which it does not take. */
    alone: boolean;
    expiry: Disposable | undefined;
}

/** The platform accepts 100 entries per transaction; a job needs three: two conditions and one write. */
const MAX_JOBS_PER_TRANSACTION = 32;
/** The platform accepts 1 MB per transaction, and base64 encoding makes values a third larger. */
const MAX_BYTES_PER_TRANSACTION = 600_000;
/** No row of the platform's store is larger; what its encoding adds may lower the limit. */
const MAX_ROW_CHARACTERS = 65_536;
const COMMIT_TIMEOUT_MS = 700;
const RETRY_DELAY_MS = 40;
/** A job that was certainly not stored is refused after this time, so that its caller can try another process. */
const RETRY_TIMEOUT_MS = 100;
/** A write with an unknown outcome is retried for this long: less than half of the 3 s that callers wait. */
const UNCERTAIN_RETRY_TIMEOUT_MS = 1300;
/** A job queued for this long is refused: the store is then several times slower than usual. */
const QUEUE_TIMEOUT_MS = 300;
/** While the store fails, one job per interval is admitted to probe it. */
const PROBE_INTERVAL_MS = 200;

/** Stores accepted jobs in batches: one transaction at a time, with the jobs that were queued meanwhile. */
export class IntakeWriter {
    private readonly queue: PendingJob[] = [];
    private active = false;
    private storeFailing = false;
    private lastAdmittedAtMs = Number.NEGATIVE_INFINITY;

    constructor(private readonly store: RowStore, private readonly timer: TimerService) {}

    /** Number of queued jobs. */
    public get backlog(): number {
        return this.queue.length;
    }

    /** Returns whether a job may be queued: the store works, or this job is due as the next probe. */
    public tryAdmit(): boolean {
        const nowMs = this.timer.nowMs();
        if (this.storeFailing && nowMs - this.lastAdmittedAtMs < PROBE_INTERVAL_MS) {
            return false;
        }
        this.lastAdmittedAtMs = nowMs;
        return true;
    }

    /** Stores a job unless it is stored already. */
    public write(spec: JobSpec): Promise<IntakeResult> {
        return new Promise(resolve => {
            const bytes = JSON.stringify(spec).length;
            if (bytes > MAX_ROW_CHARACTERS) {
                resolve({ outcome: IntakeOutcome.Refused });
                return;
            }
            const job: PendingJob = {
                spec,
                bytes,
                arrivedAtMs: this.timer.nowMs(),
                resolve,
                uncertain: false,
                alone: false,
                expiry: this.timer.after(QUEUE_TIMEOUT_MS, () => this.expire(job))
            };
            this.queue.push(job);
            if (!this.active) {
                this.active = true;
                void this.run();
            }
        });
    }

    private async run(): Promise<void> {
        while (this.queue.length > 0) {
            const batch = this.takeBatch();
            const failed = await this.commit(batch);
            if (failed) {
                await sleep(this.timer, RETRY_DELAY_MS);
            }
        }
        this.active = false;
    }

    private takeBatch(): PendingJob[] {
        const batch: PendingJob[] = [];
        const ids = new Set<string>();
        let bytes = 0;
        while (batch.length < MAX_JOBS_PER_TRANSACTION && this.queue.length > 0) {
            const next = this.queue[0]!;
            const isFull = batch.length > 0
                && (bytes + next.bytes > MAX_BYTES_PER_TRANSACTION || next.alone || batch[0]!.alone);
            if (ids.has(next.spec.id) || isFull) {
                break;
            }
            this.queue.shift();
            next.expiry?.dispose();
            next.expiry = undefined;
            batch.push(next);
            ids.add(next.spec.id);
            bytes += next.bytes;
        }
        return batch;
    }

    /** Commits a batch; returns whether the store failed. */
    private async commit(batch: readonly PendingJob[]): Promise<boolean> {
        const conditions: RowCondition[] = [];
        const writes: RowWrite[] = [];
        for (const { spec } of batch) {
            const place = { partition: FLEET_PARTITION, key: spec.id };
            conditions.push({ ...place, table: FleetTable.Intake, version: 0 });
            conditions.push({ ...place, table: FleetTable.Outcomes, version: 0 });
            writes.push({ ...place, table: FleetTable.Intake, value: JSON.stringify(spec) });
        }
        const result = await this.store.commit(conditions, writes, COMMIT_TIMEOUT_MS);
        this.storeFailing = result.isErr() && !isVerdict(result.error.kind);
        if (result.isOk()) {
            const version = result.value;
            batch.forEach(job => job.resolve({ outcome: IntakeOutcome.Written, version }));
            return false;
        }
        const { kind, rows } = result.error;
        if (kind === StoreFailureKind.Conflict) {
            this.resolveConflict(batch, rows);
            return false;
        }
        if (kind === StoreFailureKind.Invalid) {
            this.separate(batch);
            return false;
        }
        this.retry(batch, kind);
        return true;
    }

    /** Finds the job whose row the store does not take, and refuses it; the others are stored one by one. */
    private separate(batch: readonly PendingJob[]): void {
        const [first, ...others] = batch;
        if (others.length === 0) {
            first!.resolve({ outcome: IntakeOutcome.Refused });
            return;
        }
        batch.forEach(job => {
            job.alone = true;
        });
        this.queue.unshift(...batch);
    }

    private resolveConflict(batch: readonly PendingJob[], rows: readonly StoredRow[]): void {
        const rowById = new Map(rows.map(row => [row.key, row]));
        const unaffected: PendingJob[] = [];
        for (const job of batch) {
            const row = rowById.get(job.spec.id);
            if (row) {
                job.resolve({ outcome: IntakeOutcome.AlreadyStored, row });
            }
            else {
                unaffected.push(job);
            }
        }
        this.queue.unshift(...unaffected);
    }

    private retry(batch: readonly PendingJob[], kind: StoreFailureKind): void {
        const nowMs = this.timer.nowMs();
        const retried: PendingJob[] = [];
        for (const job of batch) {
            job.uncertain ||= kind === StoreFailureKind.Uncertain;
            const limitMs = job.uncertain ? UNCERTAIN_RETRY_TIMEOUT_MS : RETRY_TIMEOUT_MS;
            if (nowMs - job.arrivedAtMs < limitMs) {
                retried.push(job);
            }
            else {
                job.resolve({ outcome: job.uncertain ? IntakeOutcome.Uncertain : IntakeOutcome.Unavailable });
            }
        }
        this.queue.unshift(...retried);
    }

    /** Refuses a job that was queued for too long, unless an earlier write of it may have taken effect. */
    private expire(job: PendingJob): void {
        const index = this.queue.indexOf(job);
        if (index >= 0 && !job.uncertain) {
            this.queue.splice(index, 1);
            job.resolve({ outcome: IntakeOutcome.Unavailable });
        }
    }
}

/** Whether the store works and has decided about the transaction. */
function isVerdict(kind: StoreFailureKind): boolean {
    return kind === StoreFailureKind.Conflict || kind === StoreFailureKind.Invalid;
}
