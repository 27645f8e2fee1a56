import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { isFinal, OutcomeState, type RequestOutcome, type RequestRecord } from "@skylarkpath/common/model/Request";
import {
    TaskEnd,
    type TaskScheduler,
    WaitCause,
    type WaitExplanation
} from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import { groupByRequest } from "../store/ProgressGroups.js";
import type { FencingConditions, RequestStore, StoredRequest, TaskProgress } from "../store/RequestStore.js";
import { StaleReadGuard } from "../store/StaleReadGuard.js";
import { Adoption } from "./Adoption.js";
import { Job, taskIndexOf } from "./Job.js";
import type { JobDescription } from "./JobDescription.js";
import { JobOutcomeWriter } from "./JobOutcomeWriter.js";
import { isNonIdempotentLookup } from "./OrphanLookupResolver.js";
import { OutcomeCache } from "./OutcomeCache.js";
import type { Placements } from "./Placements.js";
import type { HandedOverJob, SliceHandover } from "./SliceHandover.js";

/** Sends a stop command for a running task to its worker. */
export type StopTask = (taskId: string) => void;

const MAX_CONCURRENT_PAYLOAD_READS = 32;

/** Manages the open batch and gang jobs of a slice and commits their outcomes. */
export class JobController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly jobs = new Map<string, Job>();
    private readonly outcomeCache: OutcomeCache;
    private readonly outcomeWriter: JobOutcomeWriter;
    private readonly reads = new StaleReadGuard();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly finishedEmitter = this.store.add(new Emitter<string>());
    private readonly conflictEmitter = this.store.add(new Emitter<string>());
    private readonly nonIdempotentLookupsEmitter = this.store.add(new Emitter<readonly StoredRequest[]>());
    private readonly supersededEmitter = this.store.add(new Emitter<number>());
    private loading = false;
    private loaded = false;
    private isHoldReleased = false;

    /** Fires when the scheduler has new work or free capacity. */
    public readonly onChange = this.changeEmitter.event;
    /** Fires with the id of each request whose final outcome is known to be committed. */
    public readonly onFinished = this.finishedEmitter.event;
    /** Fires with the open non-idempotent look-ups each time the open requests were read from the store. */
    public readonly onNonIdempotentLookups = this.nonIdempotentLookupsEmitter.event;
    /** Fires with the id of a request whose outcome write was refused, as when another process owns the slice. */
    public readonly onConflict = this.conflictEmitter.event;
    /** Fires with the epoch of a request that was claimed in a later epoch, by a later owner. */
    public readonly onSuperseded = this.supersededEmitter.event;

    constructor(
        private readonly sliceId: string,
        private readonly epoch: number,
        private readonly environment: ProcessEnvironment,
        options: Pick<ProcessOptions, "lookupMemoryMs">,
        private readonly requests: RequestStore,
        private readonly scheduler: TaskScheduler,
        private readonly guard: FencingConditions,
        private readonly placements: Placements,
        private readonly stopTask: StopTask
    ) {
        this.outcomeWriter = new JobOutcomeWriter(requests, guard);
        this.outcomeCache = new OutcomeCache(environment.timer, options.lookupMemoryMs);
    }

    /** Whether all open requests of the slice are loaded. */
    public get isLoaded(): boolean {
        return this.loaded;
    }

    /** Number of jobs of earlier epochs that may not start yet: their tasks may still run under a previous owner. */
    public get heldCount(): number {
        return this.isHoldReleased ? 0 : [...this.jobs.values()].filter(job => job.claimedInEarlierEpoch).length;
    }

    /** Number of open jobs. */
    public get openCount(): number {
        return this.jobs.size;
    }

    /** Returns the open job of a request. */
    public find(requestId: string): Job | undefined {
        return this.jobs.get(requestId);
    }

    /** Loads the open requests of the slice; resolves with false when they could not be read from the store. */
    public async load(): Promise<boolean> {
        if (this.loading) {
            return this.loaded;
        }
        this.loading = true;
        const isLoaded = await this.reads.run(() => this.readOpen());
        this.loading = false;
        if (isLoaded) {
            this.loaded = true;
            for (const job of this.jobs.values()) {
                this.submitOpenTasks(job);
                if (job.isComplete && !job.isCommitting) {
                    void this.finish(job, job.completeOutcome());
                }
            }
            this.changeEmitter.fire();
        }
        return isLoaded;
    }

    /** Adds the open jobs that the previous owner has handed over. */
    public adoptHandover(handover: SliceHandover): void {
        for (const handedOverJob of handover.jobs) {
            const record = handedOverJob.record as unknown as RequestRecord;
            const stored = { record, version: handedOverJob.version };
            this.addJob(new Job(stored, handedOverJob.payload, record.claimEpoch < this.epoch, handedOverJob));
        }
        this.loaded = handover.jobsComplete;
        this.retryOutcomeCommits();
    }

    /** Returns the state of the open jobs for the next owner of the slice. */
    public handOver(): readonly HandedOverJob[] {
        return [...this.jobs.values()].map(job => job.toHandedOverJob());
    }

    /** Adds a request that is committed in the store; resolves with false when it could not be found or read. */
    public async submit(requestId: string): Promise<boolean> {
        if (this.jobs.has(requestId)) {
            return true;
        }
        const isFound = await this.reads.run(async () => {
            const stored = await this.requests.find(requestId);
            if (stored.isErr() || !stored.value) {
                return false;
            }
            return !isFinal(stored.value.record.outcome) ? this.addOpen(stored.value) : true;
        });
        this.changeEmitter.fire();
        return isFound;
    }

    /** Allows tasks claimed in earlier epochs to start again. */
    public releaseHold(): void {
        this.isHoldReleased = true;
        for (const job of this.jobs.values()) {
            this.submitOpenTasks(job);
            this.finishIfCancelled(job);
        }
        this.changeEmitter.fire();
    }

    /** Adopts a task that a worker has reported as running. */
    public adopt(taskId: string, requestId: string, workerId: string): Adoption {
        const job = this.jobs.get(requestId);
        if (!job) {
            return this.adoptUnknown(requestId);
        }
        if (!job.mayStartTasks || job.finishedIndexes.includes(taskIndexOf(taskId))) {
            return Adoption.Stop;
        }
        this.countAsRunning(job, taskId, workerId);
        return Adoption.Adopted;
    }

    /** Records that a task was sent to a worker. */
    public markTaskStarted(taskId: string, requestId: string): void {
        this.jobs.get(requestId)?.markTaskStarted(taskId);
    }

    /** Commits the answer of a task; resolves with true once the worker may discard it. */
    public async taskSucceeded(taskId: string, requestId: string, answer: string): Promise<boolean> {
        const isCommitted = await this.submit(requestId);
        const job = this.jobs.get(requestId);
        if (!job) {
            return isCommitted;
        }
        const { timer } = this.environment;
        this.scheduler.taskEnded(taskId, TaskEnd.Succeeded, timer.nowMs());
        job.markTaskFinished(taskIndexOf(taskId), answer);
        this.changeEmitter.fire();
        if (job.isComplete) {
            return this.finish(job, job.completeOutcome());
        }
        const progress = { requestId, taskIndex: taskIndexOf(taskId), answer };
        const written = await this.requests.recordProgress(progress, this.guard);
        this.finishIfCancelled(job);
        return written.isOk();
    }

    /** Records the end of a task without an answer; if it may have run and must not run twice, its job ends. */
    public taskEnded(taskId: string, requestId: string, end: TaskEnd, mayHaveRun: boolean): void {
        const job = this.jobs.get(requestId);
        job?.markTaskStopped(taskId);
        if (job?.mayStartTasks && mayHaveRun && !job.isIdempotent) {
            void this.finish(job, job.interruptedOutcome(end === TaskEnd.Failed));
        }
        const effectiveEnd = job?.mayStartTasks ? end : TaskEnd.Cancelled;
        this.scheduler.taskEnded(taskId, effectiveEnd, this.environment.timer.nowMs());
        if (job) {
            this.finishIfCancelled(job);
        }
        this.changeEmitter.fire();
    }

    /** Ends a job that the scheduler has rejected. */
    public reject(requestId: string, detail: string): void {
        const job = this.jobs.get(requestId);
        if (job?.mayStartTasks) {
            void this.finish(job, job.rejectedOutcome(detail));
        }
    }

    /** Cancels a job; returns false when it is not open here. The outcome is committed once no task is running. */
    public cancel(requestId: string): boolean {
        const job = this.jobs.get(requestId);
        if (!job) {
            return false;
        }
        if (!job.isCancelled) {
            job.cancel();
            for (const taskId of this.scheduler.withdraw(requestId)) {
                this.stopTask(taskId);
            }
            this.finishIfCancelled(job);
        }
        return true;
    }

    /** Describes a request of this slice that is open or ended recently; undefined for any other. */
    public describe(requestId: string): JobDescription | undefined {
        const final = this.outcomeCache.find(requestId);
        if (final) {
            return final;
        }
        const job = this.jobs.get(requestId);
        if (!job) {
            return undefined;
        }
        const outcome = job.currentOutcome();
        const { team, queue } = job.stored.record.spec;
        const waiting = outcome.state === OutcomeState.Accepted ? this.explain(job) : undefined;
        return { team, queue, outcome, waiting };
    }

    /** Retries the commits of final outcomes that have failed. */
    public retryOutcomeCommits(): void {
        for (const job of this.jobs.values()) {
            if (job.pendingOutcome && !job.isCommitting) {
                void this.finish(job, job.pendingOutcome);
            }
        }
    }

    public dispose(): void {
        this.store.dispose();
    }

    private explain(job: Job): WaitExplanation | undefined {
        if (job.claimedInEarlierEpoch && !this.isHoldReleased) {
            const detail = "Workers of the slice are not yet fenced; the request may still run under its former owner.";
            return { cause: WaitCause.Fencing, detail };
        }
        return this.scheduler.explain(job.requestId, this.environment.timer.nowMs());
    }

    /** Reads an unknown request from the store; its task keeps running in the meantime. */
    private adoptUnknown(requestId: string): Adoption {
        if (this.outcomeCache.find(requestId)) {
            return Adoption.Stop;
        }
        void this.submit(requestId);
        return Adoption.Later;
    }

    private async readOpen(): Promise<boolean> {
        const open = await this.requests.loadOpenRequests(this.sliceId);
        const progress = await this.requests.loadProgress(this.sliceId);
        if (open.isErr() || progress.isErr()) {
            return false;
        }
        this.nonIdempotentLookupsEmitter.fire(open.value.filter(isNonIdempotentLookup));
        for (const entry of progress.value) {
            this.jobs.get(entry.requestId)?.markTaskFinished(entry.taskIndex, entry.answer);
        }
        const answered = groupByRequest(progress.value);
        for (let start = 0; start < open.value.length; start += MAX_CONCURRENT_PAYLOAD_READS) {
            const batch = open.value.slice(start, start + MAX_CONCURRENT_PAYLOAD_READS);
            await Promise.all(batch.map(stored => this.addOpen(stored, answered.get(stored.record.requestId))));
        }
        return true;
    }

    /** Adds an open request. Resolves with false when its payload could not be read or it belongs to a later epoch. */
    private async addOpen(stored: StoredRequest, progress: readonly TaskProgress[] = []): Promise<boolean> {
        const { requestId, claimEpoch } = stored.record;
        if (claimEpoch > this.epoch) {
            this.supersededEmitter.fire(claimEpoch);
            return false;
        }
        if (isNonIdempotentLookup(stored) || this.isKnownRequest(requestId)) {
            return true;
        }
        const payload = await this.requests.loadPayload(stored.record);
        if (payload.isErr()) {
            return false;
        }
        if (this.isKnownRequest(requestId)) {
            return true;
        }
        const job = new Job(stored, payload.value, claimEpoch < this.epoch);
        progress.forEach(entry => job.markTaskFinished(entry.taskIndex, entry.answer));
        this.addJob(job);
        return true;
    }

    private addJob(job: Job): void {
        this.jobs.set(job.requestId, job);
        for (const { taskId, workerId } of this.placements.ofGroup(job.requestId)) {
            this.countAsRunning(job, taskId, workerId);
            if (job.isCancelled) {
                this.stopTask(taskId);
            }
        }
        this.submitOpenTasks(job);
        this.finishIfCancelled(job);
    }

    private isKnownRequest(requestId: string): boolean {
        return this.jobs.has(requestId)
            || this.outcomeCache.find(requestId) !== undefined
            || this.reads.hasEnded(requestId);
    }

    private countAsRunning(job: Job, taskId: string, workerId: string): void {
        const { timer } = this.environment;
        this.scheduler.submit(job.toGroup([taskId], timer.nowMs(), timer.wallClockMs()));
        this.scheduler.adopt(taskId, job.requestId, workerId, timer.nowMs());
        job.markTaskStarted(taskId);
    }

    private submitOpenTasks(job: Job): void {
        if (!job.mayStartTasks || (job.claimedInEarlierEpoch && !this.isHoldReleased)) {
            return;
        }
        if (job.hasLostTask) {
            void this.finish(job, job.interruptedOutcome(false));
            return;
        }
        const { timer } = this.environment;
        this.scheduler.submit(job.toGroup(job.openTaskIds, timer.nowMs(), timer.wallClockMs()));
    }

    private finishIfCancelled(job: Job): void {
        const mayRunElsewhere = job.claimedInEarlierEpoch && !this.isHoldReleased;
        if (job.isCancelled && !job.isCommitting && job.runningTasks.size === 0 && !mayRunElsewhere) {
            void this.finish(job, job.cancelledOutcome());
        }
    }

    private async finish(job: Job, outcome: RequestOutcome): Promise<boolean> {
        if (job.isCommitting) {
            return false;
        }
        job.startCommit(job.pendingOutcome ?? outcome);
        return this.commitOutcome(job, job.pendingOutcome ?? outcome);
    }

    private async commitOutcome(job: Job, outcome: RequestOutcome): Promise<boolean> {
        for (const taskId of this.scheduler.withdraw(job.requestId)) {
            this.stopTask(taskId);
        }
        const { finalOutcome, isConflict } = await this.outcomeWriter.commit(job, outcome);
        if (isConflict) {
            this.conflictEmitter.fire(job.requestId);
        }
        if (!finalOutcome) {
            job.markCommitFailed();
            return false;
        }
        this.handleOutcomeCommitted(job, finalOutcome);
        return !isConflict;
    }

    private handleOutcomeCommitted(job: Job, outcome: RequestOutcome): void {
        this.jobs.delete(job.requestId);
        this.reads.recordEnded(job.requestId);
        const { team, queue } = job.stored.record.spec;
        this.outcomeCache.add(job.requestId, { team, queue, outcome });
        this.environment.log.write(EVENTS.requestEnded, {
            requestId: job.requestId,
            state: outcome.state,
            reason: outcome.reason
        });
        this.finishedEmitter.fire(job.requestId);
    }
}
