import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { OutcomeReason, OutcomeState, type RequestOutcome, type TaskSizing } from "@skylarkpath/common/model/Request";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import { GroupKind, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { StoredRequest } from "../store/RequestStore.js";
import type { HandedOverJob } from "./SliceHandover.js";

const NO_TASKS: TaskSizing = { count: 0, resources: NO_RESOURCES, declaredDurationMs: 0, checkpointable: false };

const TASK_FAILED_DETAIL = "A task failed; it does not run again, since the queue is not idempotent.";
const TASK_INTERRUPTED_DETAIL = "A task was interrupted; it does not run again, since the queue is not idempotent.";

/** Accepted batch or gang job and the progress of its tasks. */
export class Job {
    private readonly answers = new Map<number, string>();
    private readonly running = new Set<string>();
    private readonly checkpoints = new Map<string, string>();
    private hasStartedTask = false;
    private cancelRequested = false;
    private committing = false;
    private finalOutcome: RequestOutcome | undefined;

    constructor(
        private current: StoredRequest,
        /** Payload of the request, loaded from the object store when it is large. */
        public readonly payload: string,
        /** The job was claimed in an earlier epoch, so that its tasks may be running already. */
        public readonly claimedInEarlierEpoch: boolean,
        /** State handed over by the previous owner, if any. */
        private readonly handover?: HandedOverJob
    ) {
        this.hasStartedTask = handover?.started ?? false;
        this.cancelRequested = handover?.cancelled ?? false;
        this.finalOutcome = handover?.pendingOutcome as RequestOutcome | undefined;
        handover?.checkpoints.forEach(({ taskId, checkpoint }) => this.checkpoints.set(taskId, checkpoint));
        handover?.answers.forEach(({ taskIndex, answer }) => this.answers.set(taskIndex, answer));
    }

    /** Record of the request and the version of its row. */
    public get stored(): StoredRequest {
        return this.current;
    }

    /** Whether a task that has run may run again. */
    public get isIdempotent(): boolean {
        return this.current.record.spec.idempotent;
    }

    /** Whether the start record is committed. Tasks that must not run twice start only after that. */
    public get hasStartRecord(): boolean {
        return this.current.record.start !== undefined;
    }

    /**
     * Whether an unfinished task that must not run twice may have run under a previous owner and is not running now.
     */
    public get hasLostTask(): boolean {
        return !this.isIdempotent
            && this.claimedInEarlierEpoch
            && this.handover === undefined
            && this.hasStartRecord
            && this.openTaskIds.some(taskId => !this.running.has(taskId));
    }

    /** Stores the request as it was committed with its start record. */
    public setStartRecord(stored: StoredRequest): void {
        this.current = stored;
    }

    /** Id of the request. */
    public get requestId(): string {
        return this.stored.record.requestId;
    }

    /** Number, resources and declared duration of the tasks. */
    public get sizing(): TaskSizing {
        return this.stored.record.spec.tasks ?? NO_TASKS;
    }

    /** Whether a caller has cancelled the job. */
    public get isCancelled(): boolean {
        return this.cancelRequested;
    }

    /** Whether the final outcome is being committed. */
    public get isCommitting(): boolean {
        return this.committing;
    }

    /** Whether a task was sent, or may have been sent, to a worker in this epoch or an earlier one. */
    public get hasStarted(): boolean {
        const mayHaveStartedEarlier = this.claimedInEarlierEpoch && this.handover === undefined;
        return mayHaveStartedEarlier || this.hasStartedTask || this.answers.size > 0;
    }

    /** Whether tasks may start: the job is not cancelled and has no final outcome yet. */
    public get mayStartTasks(): boolean {
        return !this.cancelRequested && !this.committing && this.finalOutcome === undefined;
    }

    /** Whether all tasks have finished. */
    public get isComplete(): boolean {
        return this.answers.size === this.sizing.count;
    }

    /** Ids of the tasks that are running. */
    public get runningTasks(): ReadonlySet<string> {
        return this.running;
    }

    /** Indexes of the finished tasks. */
    public get finishedIndexes(): readonly number[] {
        return [...this.answers.keys()];
    }

    /** Ids of the unfinished tasks, running ones included. */
    public get openTaskIds(): readonly string[] {
        return rangeOf(this.sizing.count)
            .filter(index => !this.answers.has(index))
            .map(index => composeTaskId(this.requestId, index));
    }

    /** Describes the job as a task group for the scheduler; wall-clock times become times of the monotonic clock. */
    public toGroup(taskIds: readonly string[], nowMs: number, wallClockMs: number): TaskGroup {
        const { spec, acceptedAtMs } = this.stored.record;
        return {
            groupId: this.requestId,
            team: spec.team,
            kind: spec.kind === QueueKind.Gang ? GroupKind.Gang : GroupKind.Batch,
            urgent: spec.urgent,
            resources: this.sizing.resources,
            taskIds,
            profile: spec.queue,
            declaredDurationMs: this.sizing.declaredDurationMs,
            checkpointable: this.sizing.checkpointable,
            neverPreempted: !spec.idempotent,
            deadlineAtMs: nowMs + (spec.deadlineAtMs - wallClockMs),
            submittedAtMs: nowMs - Math.max(0, wallClockMs - acceptedAtMs)
        };
    }

    /** Records that a task was sent to a worker or found running there. */
    public markTaskStarted(taskId: string): void {
        this.hasStartedTask = true;
        this.running.add(taskId);
    }

    /** Returns the checkpoint from which a task resumes when it starts again. */
    public checkpointOf(taskId: string): string | undefined {
        return this.checkpoints.get(taskId);
    }

    /** Records the latest checkpoint of a task; ignored when the job's tasks do not support checkpoints. */
    public setCheckpoint(taskId: string, checkpoint: string): void {
        if (this.sizing.checkpointable) {
            this.checkpoints.set(taskId, checkpoint);
        }
    }

    /** Records that a task is no longer running. */
    public markTaskStopped(taskId: string): void {
        this.running.delete(taskId);
    }

    /** Records the answer of a finished task. */
    public markTaskFinished(taskIndex: number, answer: string): void {
        const taskId = composeTaskId(this.requestId, taskIndex);
        this.running.delete(taskId);
        this.checkpoints.delete(taskId);
        this.answers.set(taskIndex, answer);
    }

    /** Records that a caller has cancelled the job. */
    public cancel(): void {
        this.cancelRequested = true;
    }

    /** Final outcome whose commit is in progress or has failed. */
    public get pendingOutcome(): RequestOutcome | undefined {
        return this.finalOutcome;
    }

    /** Records the final outcome at the start of its commit. */
    public startCommit(outcome: RequestOutcome): void {
        this.committing = true;
        this.finalOutcome = outcome;
    }

    /** Records that the commit of the final outcome has failed, so that it can be retried. */
    public markCommitFailed(): void {
        this.committing = false;
    }

    /** Returns the outcome of the job when all tasks have finished. */
    public completeOutcome(): RequestOutcome {
        const answers = rangeOf(this.sizing.count).map(index => this.answers.get(index)!);
        return { state: OutcomeState.Done, answers };
    }

    /** Returns the outcome of the job when it was cancelled and none of its tasks is running. */
    public cancelledOutcome(): RequestOutcome {
        if (!this.hasStarted) {
            return { state: OutcomeState.NotRun, reason: OutcomeReason.Cancelled };
        }
        const detail = `Cancelled after a start; ${this.answers.size} of ${this.sizing.count} tasks had finished.`;
        return { state: OutcomeState.Unknown, reason: OutcomeReason.Cancelled, detail };
    }

    /** Returns the outcome of the job when the scheduler has rejected it. */
    public rejectedOutcome(detail: string): RequestOutcome {
        if (!this.hasStarted) {
            return { state: OutcomeState.NotRun, reason: OutcomeReason.Infeasible, detail };
        }
        return this.hasStartedTask
            ? { state: OutcomeState.Done, reason: OutcomeReason.NeverSucceeds, detail }
            : { state: OutcomeState.Unknown, reason: OutcomeReason.OwnerLost, detail };
    }

    /** Returns the outcome of the job when a task that must not run twice has ended without an answer. */
    public interruptedOutcome(hasFailed: boolean): RequestOutcome {
        return hasFailed
            ? { state: OutcomeState.Done, reason: OutcomeReason.NeverSucceeds, detail: TASK_FAILED_DETAIL }
            : { state: OutcomeState.Unknown, reason: OutcomeReason.TaskInterrupted, detail: TASK_INTERRUPTED_DETAIL };
    }

    /** Returns the state of the job for the next owner of the slice. */
    public toHandedOverJob(): HandedOverJob {
        return {
            record: { ...this.stored.record },
            version: this.stored.version,
            payload: this.payload,
            answers: [...this.answers].map(([taskIndex, answer]) => ({ taskIndex, answer })),
            checkpoints: [...this.checkpoints].map(([taskId, checkpoint]) => ({ taskId, checkpoint })),
            started: this.hasStarted,
            cancelled: this.cancelRequested,
            pendingOutcome: this.finalOutcome && { ...this.finalOutcome }
        };
    }

    /** Returns the outcome so far of an unfinished job. */
    public currentOutcome(): RequestOutcome {
        const state = this.running.size > 0 ? OutcomeState.Running : OutcomeState.Accepted;
        const detail = `${this.answers.size} of ${this.sizing.count} tasks finished`;
        return { state, detail };
    }
}

const INDEX_SEPARATOR = "/";

/** Returns the id of a task from the id of its request and its index. */
export function composeTaskId(requestId: string, taskIndex: number): string {
    return `${requestId}${INDEX_SEPARATOR}${taskIndex}`;
}

/** Returns the index of a task within its request from the task's id. */
export function taskIndexOf(taskId: string): number {
    return Number(taskId.slice(taskId.lastIndexOf(INDEX_SEPARATOR) + 1));
}
