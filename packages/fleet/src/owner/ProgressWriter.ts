import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { cancelKey, FLEET_PARTITION, FleetTable, progressKey } from "../model/Tables.js";
import type { RowWrite } from "../ports/RowStore.js";
import type { JobState } from "../state/JobState.js";
import { CommitOutcome, type FencedStore, type OwnershipRelease } from "./FencedStore.js";
import { MAX_GROUPS_PER_COMMIT } from "./KnownWorkerRows.js";
import { encodeProgressRows } from "./ProgressRows.js";

/** Waits until the state that it has reported so far is committed. */
export interface CommitWaiter {
    /** Called when a batch starts; returns a callback for when the batch is committed. */
    beginBatch(): () => void;
}

/** Jobs and rows of one transaction, and the callbacks for its commit. */
interface CommitBatch {
    readonly jobs: readonly JobState[];
    readonly finals: readonly JobState[];
    readonly writes: readonly RowWrite[];
    readonly waiters: readonly CommitWaiter[];
    readonly callbacks: readonly (() => void)[];
}

/**
 * Maximum number of job rows in a transaction. The platform accepts 100 entries, including the owner's row, its
 * condition and the rows of the known workers.
 */
const MAX_ROWS = 98 - MAX_GROUPS_PER_COMMIT;
/** The platform accepts 1 MB per transaction, and base64 encoding makes values a third larger. */
const MAX_JOB_BYTES = 450_000;
/** An idle owner renews its row at this interval: at least twice within the time after which others take over. */
const RENEWAL_INTERVAL_MS = 400;
/** Delay before a failed commit is retried. */
const RETRY_DELAY_MS = 60;

/** Commits the progress and the final states of jobs in batches, one transaction at a time. */
export class ProgressWriter implements Disposable {
    private readonly dirty = new Set<JobState>();
    private readonly waiters = new Set<CommitWaiter>();
    private readonly finalCommitted = new Emitter<JobState>();
    private readonly superseded = new Emitter<void>();
    private wake: (() => void) | undefined;
    private renewalRequested = false;
    private stopped = false;
    private running: Promise<void> = Promise.resolve();

    /** The final state of a job was committed. */
    public readonly onFinal = this.finalCommitted.event;
    /** Another process owns the fleet. */
    public readonly onSuperseded = this.superseded.event;

    constructor(private readonly fencedStore: FencedStore, private readonly timer: TimerService) {}

    /** Starts the loop that commits changes and renews the owner's row. */
    public start(): void {
        this.running = this.run();
    }

    /** Marks the state of a job for the next commit. */
    public markDirty(job: JobState): void {
        this.dirty.add(job);
        this.wake?.();
    }

    /** Renews the owner's row, and with it the known workers, without waiting for the interval. */
    public renewNow(): void {
        this.renewalRequested = true;
        this.wake?.();
    }

    /**
     * Adds a waiter to the next batch that writes all changes; it is called back at once when there are none to write.
     */
    public addWaiter(waiter: CommitWaiter): void {
        this.waiters.add(waiter);
        this.wake?.();
    }

    /**
     * Commits remaining changes for at most `commitMs`, then the release; returns whether it was committed within
     * `limitMs`.
     */
    public async release(release: OwnershipRelease, commitMs: number, limitMs: number): Promise<boolean> {
        this.stopped = true;
        this.wake?.();
        const commitUntilMs = this.timer.nowMs() + commitMs;
        const endMs = this.timer.nowMs() + limitMs;
        // The batch in progress has taken its jobs out of the dirty set. Waiters of the next batch acknowledge ended
        // runs, which must not happen before the progress of these jobs is committed.
        await this.running;
        while (this.timer.nowMs() < endMs) {
            const batch = this.takeBatch();
            const isLast = this.dirty.size === 0 || this.timer.nowMs() >= commitUntilMs;
            const outcome = await this.fencedStore.commit(batch.writes, isLast ? release : undefined);
            if (outcome === CommitOutcome.Superseded) {
                return false;
            }
            if (outcome === CommitOutcome.Committed) {
                this.finishBatch(batch);
                if (isLast) {
                    return true;
                }
            }
            else {
                batch.jobs.forEach(job => this.dirty.add(job));
            }
        }
        return false;
    }

    public dispose(): void {
        this.stopped = true;
        this.wake?.();
        this.finalCommitted.dispose();
        this.superseded.dispose();
    }

    private async run(): Promise<void> {
        let renewedAtMs = this.timer.nowMs();
        while (!this.stopped) {
            if (this.dirty.size === 0) {
                this.notifyWaiters();
                await this.sleepUntilWoken(renewedAtMs + RENEWAL_INTERVAL_MS - this.timer.nowMs());
            }
            const isRenewalDue = this.renewalRequested || this.timer.nowMs() >= renewedAtMs + RENEWAL_INTERVAL_MS;
            if (this.stopped || (this.dirty.size === 0 && !isRenewalDue)) {
                continue;
            }
            this.renewalRequested = false;
            const batch = this.takeBatch();
            const outcome = await this.fencedStore.commit(batch.writes);
            renewedAtMs = this.timer.nowMs();
            if (outcome === CommitOutcome.Committed) {
                this.finishBatch(batch);
                continue;
            }
            batch.jobs.forEach(job => this.dirty.add(job));
            batch.waiters.forEach(waiter => this.waiters.add(waiter));
            if (outcome === CommitOutcome.Superseded) {
                this.stopped = true;
                this.superseded.fire();
                return;
            }
            await sleep(this.timer, RETRY_DELAY_MS);
            renewedAtMs = 0;
        }
    }

    private notifyWaiters(): void {
        const waiters = [...this.waiters];
        this.waiters.clear();
        for (const waiter of waiters) {
            waiter.beginBatch()();
        }
    }

    private sleepUntilWoken(delayMs: number): Promise<void> {
        return new Promise(resolve => {
            if (delayMs <= 0 || this.renewalRequested || this.dirty.size > 0 || this.waiters.size > 0) {
                resolve();
                return;
            }
            const done = (): void => {
                this.wake = undefined;
                pending.dispose();
                resolve();
            };
            const pending = this.timer.after(delayMs, done);
            this.wake = done;
        });
    }

    private takeBatch(): CommitBatch {
        const jobs: JobState[] = [];
        const writes: RowWrite[] = [];
        const callbacks: (() => void)[] = [];
        let batchBytes = 0;
        for (const job of this.dirty) {
            const jobWrites = job.committed ? [] : encodeJob(job);
            const jobBytes = jobWrites.reduce((sum, { value = "" }) => sum + value.length, 0);
            const isFull = writes.length + jobWrites.length > MAX_ROWS || batchBytes + jobBytes > MAX_JOB_BYTES;
            if (writes.length > 0 && isFull) {
                break;
            }
            this.dirty.delete(job);
            if (!job.committed) {
                jobs.push(job);
                callbacks.push(job.beginCommit());
                writes.push(...jobWrites);
                batchBytes += jobBytes;
            }
        }
        const waiters = this.dirty.size === 0 ? [...this.waiters] : [];
        waiters.forEach(waiter => this.waiters.delete(waiter));
        return {
            jobs,
            writes,
            waiters,
            finals: jobs.filter(job => job.final),
            callbacks: [...callbacks, ...waiters.map(waiter => waiter.beginBatch())]
        };
    }

    private finishBatch(batch: CommitBatch): void {
        for (const job of batch.finals) {
            job.committed = true;
            this.finalCommitted.fire(job);
        }
        batch.callbacks.forEach(callback => callback());
    }
}

/** Returns the writes of a job: its progress, or its final state and the removal of all its other rows. */
function encodeJob(job: JobState): RowWrite[] {
    const key = job.spec.id;
    const place = { partition: FLEET_PARTITION, key };
    const progress = job.final ? [] : encodeProgressRows(job.encodeProgress());
    job.progressRowCount = Math.max(job.progressRowCount, progress.length);
    const progressWrites = Array.from({ length: job.progressRowCount }, (...[, index]): RowWrite => ({
        ...place,
        table: FleetTable.Progress,
        key: progressKey(key, index),
        value: progress[index]
    }));
    if (!job.final) {
        return progressWrites;
    }
    const outcome = { phase: job.phase, queue: job.spec.queue, team: job.spec.team };
    return [
        { ...place, table: FleetTable.Outcomes, value: JSON.stringify(outcome) },
        { ...place, table: FleetTable.Intake },
        ...progressWrites,
        ...job.cancelRequested ? [{ ...place, table: FleetTable.Intake, key: cancelKey(key) }] : []
    ];
}
