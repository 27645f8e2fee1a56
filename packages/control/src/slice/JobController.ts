import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { QueueKind } from "@skylarkpath/common/model/OperatorsText";
import { OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import {
    TaskEnd,
    type TaskScheduler,
    WaitCause,
    type WaitExplanation
} from "@skylarkpath/common/scheduling/TaskScheduler";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { RequestStore, SliceGuard, StoredRequest } from "../store/RequestStore.js";
import { Job, taskIndexOf } from "./Job.js";

/** Outcome of a request with what it waits for. */
export interface JobDescription {
    readonly team: string;
    readonly outcome: RequestOutcome;
    readonly waiting?: WaitExplanation;
}

interface FinalOutcome {
    readonly team: string;
    readonly outcome: RequestOutcome;
}

/** Asks for a running task to be stopped. */
export type StopTask = (taskId: string) => void;

/** What to do with a task that an inventory shows as running. */
export enum Adoption {
    Adopted = "adopted",
    /** The task has no right to run. */
    Stop = "stop",
    /** Not known yet; the task goes on until it is. */
    Later = "later"
}

/** Holds the open batch and gang jobs of a slice and commits their outcomes. */
export class JobController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly jobs = new Map<string, Job>();
    private readonly finalOutcomes = new Map<string, FinalOutcome>();
    private readonly changeEmitter = this.store.add(new Emitter<void>());
    private readonly finishedEmitter = this.store.add(new Emitter<string>());
    private loaded = false;
    private mayStartEarlierClaims = false;

    /** Tells that the scheduler has new work or free capacity. */
    public readonly onChange = this.changeEmitter.event;
    /** Tells the id of each request whose outcome is committed. */
    public readonly onFinished = this.finishedEmitter.event;

    constructor(
        private readonly sliceId: string,
        private readonly epoch: number,
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly requests: RequestStore,
        private readonly scheduler: TaskScheduler,
        private readonly guard: SliceGuard,
        private readonly stopTask: StopTask
    ) {}

    /** Tells whether all open requests of the slice were loaded. */
    public get isLoaded(): boolean {
        return this.loaded;
    }

    /** Requests that are held until work of former epochs has certainly ended. */
    public get heldCount(): number {
        return this.mayStartEarlierClaims ? 0 : [...this.jobs.values()].filter(job => job.claimedEarlier).length;
    }

    /** Open requests. */
    public get openCount(): number {
        return this.jobs.size;
    }

    /** Finds the open job of a request. */
    public find(requestId: string): Job | undefined {
        return this.jobs.get(requestId);
    }

    /** Loads the open requests of the slice; returns false when the store is not reached. */
    public async load(): Promise<boolean> {
        const open = await this.requests.loadOpen(this.sliceId);
        const progress = await this.requests.loadProgress(this.sliceId);
        if (open.isErr() || progress.isErr()) {
            return false;
        }
        for (const stored of open.value) {
            await this.add(stored);
        }
        for (const entry of progress.value) {
            this.jobs.get(entry.requestId)?.noteFinished(entry.taskIndex, entry.answer);
        }
        this.loaded = true;
        for (const job of this.jobs.values()) {
            this.release(job);
            this.finishWhenComplete(job);
        }
        this.changeEmitter.fire();
        return true;
    }

    /** Takes in a request that was committed for this slice. */
    public async submit(requestId: string): Promise<boolean> {
        if (this.jobs.has(requestId)) {
            return true;
        }
        const stored = await this.requests.find(requestId);
        if (stored.isErr() || !stored.value) {
            return false;
        }
        if (isOpen(stored.value)) {
            await this.add(stored.value);
            this.changeEmitter.fire();
        }
        return true;
    }

    /** Lets tasks claimed under former epochs start again. */
    public releaseHold(): void {
        this.mayStartEarlierClaims = true;
        for (const job of this.jobs.values()) {
            this.release(job);
            this.finishCancelled(job);
        }
        this.changeEmitter.fire();
    }

    /** Counts a task as running where an inventory found it. */
    public adopt(taskId: string, requestId: string, workerId: string): Adoption {
        const job = this.jobs.get(requestId);
        if (!job) {
            return this.loaded ? Adoption.Stop : Adoption.Later;
        }
        if (job.isCancelled || job.isClosed || job.finishedIndexes.includes(taskIndexOf(taskId))) {
            return Adoption.Stop;
        }
        const { timer } = this.environment;
        this.scheduler.submit(job.toGroup([taskId], timer.nowMs(), timer.wallClockMs()));
        this.scheduler.adopt(taskId, requestId, workerId, timer.nowMs());
        job.noteStarted(taskId);
        return Adoption.Adopted;
    }

    /** Notes that a task was handed to a worker. */
    public noteStarted(taskId: string, requestId: string): void {
        this.jobs.get(requestId)?.noteStarted(taskId);
    }

    /** Commits the answer of a task; resolves with true once the worker may forget it. */
    public async taskSucceeded(taskId: string, requestId: string, answer: string): Promise<boolean> {
        const job = this.jobs.get(requestId);
        if (!job) {
            return this.loaded;
        }
        const { timer } = this.environment;
        this.scheduler.taskEnded(taskId, TaskEnd.Succeeded, timer.nowMs());
        job.noteFinished(taskIndexOf(taskId), answer);
        this.changeEmitter.fire();
        if (job.isComplete) {
            return this.finish(job, job.completeOutcome());
        }
        const progress = { requestId, taskIndex: taskIndexOf(taskId), answer };
        const written = await this.requests.recordProgress(progress, this.guard);
        this.finishCancelled(job);
        return written.isOk();
    }

    /** Notes that a task ended without an answer. */
    public taskEnded(taskId: string, requestId: string, end: TaskEnd): void {
        const job = this.jobs.get(requestId);
        job?.noteStopped(taskId);
        const effectiveEnd = job && !job.isCancelled ? end : TaskEnd.Cancelled;
        this.scheduler.taskEnded(taskId, effectiveEnd, this.environment.timer.nowMs());
        if (job) {
            this.finishCancelled(job);
        }
        this.changeEmitter.fire();
    }

    /** Ends a job that the scheduler gives up. */
    public reject(requestId: string, detail: string): void {
        const job = this.jobs.get(requestId);
        if (job && !job.isClosed) {
            void this.finish(job, job.rejectedOutcome(detail));
        }
    }

    /** Cancels a job; resolves with its final outcome once nothing of it runs. */
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
            this.finishCancelled(job);
        }
        return true;
    }

    /** Describes a request of this slice, or undefined when it is not open here. */
    public describe(requestId: string): JobDescription | undefined {
        const final = this.finalOutcomes.get(requestId);
        if (final) {
            return final;
        }
        const job = this.jobs.get(requestId);
        if (!job) {
            return undefined;
        }
        const outcome = job.currentOutcome();
        const { team } = job.stored.record.spec;
        const waiting = outcome.state === OutcomeState.Accepted ? this.explain(job) : undefined;
        return { team, outcome, waiting };
    }

    /** Commits final outcomes again whose commit has failed. */
    public retryFinishes(): void {
        for (const job of this.jobs.values()) {
            if (job.pendingOutcome && !job.isClosed) {
                void this.finish(job, job.pendingOutcome);
            }
        }
    }

    public dispose(): void {
        this.store.dispose();
    }

    private explain(job: Job): WaitExplanation | undefined {
        if (job.claimedEarlier && !this.mayStartEarlierClaims) {
            const detail = "Workers of the slice are not yet fenced; the request may still run under its former owner.";
            return { cause: WaitCause.Fencing, detail };
        }
        return this.scheduler.explain(job.requestId, this.environment.timer.nowMs());
    }

    private async add(stored: StoredRequest): Promise<void> {
        const payload = await this.requests.payloadOf(stored.record);
        const { requestId, spec, claimEpoch } = stored.record;
        const isKnown = this.jobs.has(requestId) || this.finalOutcomes.has(requestId);
        if (payload.isErr() || isKnown || spec.kind === QueueKind.Lookup) {
            return;
        }
        const job = new Job(stored, payload.value, claimEpoch < this.epoch);
        this.jobs.set(requestId, job);
        if (!job.claimedEarlier) {
            this.release(job);
        }
    }

    private release(job: Job): void {
        if (job.isCancelled || job.isClosed || (job.claimedEarlier && !this.mayStartEarlierClaims)) {
            return;
        }
        const { timer } = this.environment;
        this.scheduler.submit(job.toGroup(job.openTaskIds, timer.nowMs(), timer.wallClockMs()));
    }

    private finishCancelled(job: Job): void {
        const mayRunElsewhere = job.claimedEarlier && !this.mayStartEarlierClaims;
        if (job.isCancelled && !job.isClosed && job.runningTasks.size === 0 && !mayRunElsewhere) {
            void this.finish(job, job.cancelledOutcome());
        }
    }

    private finishWhenComplete(job: Job): void {
        if (job.isComplete && !job.isClosed) {
            void this.finish(job, job.completeOutcome());
        }
    }

    private async finish(job: Job, outcome: RequestOutcome): Promise<boolean> {
        if (job.isClosed) {
            return false;
        }
        job.close(outcome);
        for (const taskId of this.scheduler.withdraw(job.requestId)) {
            this.stopTask(taskId);
        }
        const stored = { ...job.stored, record: { ...job.stored.record, outcome } };
        const written = await this.requests.finish(stored, job.finishedIndexes, this.guard);
        if (written.isErr()) {
            job.reopen();
            return false;
        }
        this.jobs.delete(job.requestId);
        this.finalOutcomes.set(job.requestId, { team: job.stored.record.spec.team, outcome });
        this.environment.timer.after(this.options.lookupMemoryMs, () => this.finalOutcomes.delete(job.requestId));
        this.environment.log.write(EVENTS.requestEnded, {
            requestId: job.requestId,
            state: outcome.state,
            reason: outcome.reason
        });
        this.finishedEmitter.fire(job.requestId);
        return true;
    }
}

function isOpen(stored: StoredRequest): boolean {
    return stored.record.outcome.state === OutcomeState.Accepted
        || stored.record.outcome.state === OutcomeState.Running;
}
