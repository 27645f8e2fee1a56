import { rangeOf } from "@skylarkpath/common/base/Ranges";
import { QueueKind } from "@skylarkpath/common/model/OperatorsText";
import { OutcomeReason, OutcomeState, type RequestOutcome, type TaskSizing } from "@skylarkpath/common/model/Request";
import { NO_RESOURCES } from "@skylarkpath/common/model/Resources";
import { GroupKind, type TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import type { StoredRequest } from "../store/RequestStore.js";
import type { HandedOverJob } from "./SliceHandover.js";

const NO_TASKS: TaskSizing = { count: 0, resources: NO_RESOURCES, declaredDurationMs: 0, checkpointable: false };

const TASK_FAILED_DETAIL = "A task failed; it does not run again, since the queue is not idempotent.";
const TASK_INTERRUPTED_DETAIL = "A task was interrupted; it does not run again, since the queue is not idempotent.";

/** Accepted batch or gang job with the progress of its tasks. */
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
        /** Tasks may run already under a former epoch. */
        public readonly claimedInEarlierEpoch: boolean,
        /** What the former owner has handed over. */
        private readonly handover?: HandedOverJob
    ) {
        this.hasStartedTask = handover?.started ?? false;
        this.cancelRequested = handover?.cancelled ?? false;
        this.finalOutcome = handover?.pendingOutcome as RequestOutcome | undefined;
        handover?.checkpoints.forEach(({ taskId, checkpoint }) => this.checkpoints.set(taskId, checkpoint));
        handover?.answers.forEach(({ taskIndex, answer }) => this.answers.set(taskIndex, answer));
    }

    /** Record of the request with the version of its row. */
    public get stored(): StoredRequest {
        return this.current;
    }

    /** Tells whether a task that ran may run again. */
    public get isIdempotent(): boolean {
        return this.current.record.spec.idempotent;
    }

    /** Tells whether a start may follow: tasks that must not run again need a committed start record first. */
    public get hasStartRecord(): boolean {
        return this.current.record.start !== undefined;
    }

    /** Tells whether some open task may have run under a former owner and must not run again. */
    public get hasLostTask(): boolean {
        return !this.isIdempotent
            && this.claimedInEarlierEpoch
            && this.handover === undefined
            && this.hasStartRecord
            && this.openTaskIds.some(taskId => !this.running.has(taskId));
    }

    /** Notes that the start record is committed. */
    public setStartRecord(stored: StoredRequest): void {
        this.current = stored;
    }

    /** Id of the request. */
    public get requestId(): string {
        return this.stored.record.requestId;
    }

    /** Sizes of the tasks. */
    public get sizing(): TaskSizing {
        return this.stored.record.spec.tasks ?? NO_TASKS;
    }

    /** Tells whether a caller has cancelled the job. */
    public get isCancelled(): boolean {
        return this.cancelRequested;
    }

    /** Tells whether the final outcome is being committed. */
    public get isCommitting(): boolean {
        return this.committing;
    }

    /** Tells whether some task was or may have been handed to a worker, also under a former epoch. */
    public get hasStarted(): boolean {
        const mayHaveStartedEarlier = this.claimedInEarlierEpoch && this.handover === undefined;
        return mayHaveStartedEarlier || this.hasStartedTask || this.answers.size > 0;
    }

    /** Tells whether tasks may start: no final outcome was decided. */
    public get mayStartTasks(): boolean {
        return !this.cancelRequested && !this.committing && this.finalOutcome === undefined;
    }

    /** Tells whether all tasks have finished. */
    public get isComplete(): boolean {
        return this.answers.size === this.sizing.count;
    }

    /** Tasks that run now. */
    public get runningTasks(): ReadonlySet<string> {
        return this.running;
    }

    /** Indexes of finished tasks. */
    public get finishedIndexes(): readonly number[] {
        return [...this.answers.keys()];
    }

    /** Ids of the tasks that have not finished. */
    public get openTaskIds(): readonly string[] {
        return rangeOf(this.sizing.count)
            .filter(index => !this.answers.has(index))
            .map(index => composeTaskId(this.requestId, index));
    }

    /** Describes the job for the scheduler. */
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

    /** Notes that a task was handed to a worker. */
    public markTaskStarted(taskId: string): void {
        this.hasStartedTask = true;
        this.running.add(taskId);
    }

    /** Checkpoint from which a task resumes when it starts again. */
    public checkpointOf(taskId: string): string | undefined {
        return this.checkpoints.get(taskId);
    }

    /** Notes the last checkpoint of a task. */
    public setCheckpoint(taskId: string, checkpoint: string): void {
        if (this.sizing.checkpointable) {
            this.checkpoints.set(taskId, checkpoint);
        }
    }

    /** Notes that a task no longer runs. */
    public markTaskStopped(taskId: string): void {
        this.running.delete(taskId);
    }

    /** Notes the answer of a finished task. */
    public markTaskFinished(taskIndex: number, answer: string): void {
        const taskId = composeTaskId(this.requestId, taskIndex);
        this.running.delete(taskId);
        this.checkpoints.delete(taskId);
        this.answers.set(taskIndex, answer);
    }

    /** Notes that a caller cancels the job. */
    public cancel(): void {
        this.cancelRequested = true;
    }

    /** Final outcome whose commit has failed or is under way. */
    public get pendingOutcome(): RequestOutcome | undefined {
        return this.finalOutcome;
    }

    /** Notes that the final outcome is being committed. */
    public startCommit(outcome: RequestOutcome): void {
        this.committing = true;
        this.finalOutcome = outcome;
    }

    /** Notes that committing the final outcome has failed. */
    public markCommitFailed(): void {
        this.committing = false;
    }

    /** Outcome of the job when all tasks have finished. */
    public completeOutcome(): RequestOutcome {
        const answers = rangeOf(this.sizing.count).map(index => this.answers.get(index)!);
        return { state: OutcomeState.Done, answers };
    }

    /** Outcome of the job when it was cancelled and nothing of it runs. */
    public cancelledOutcome(): RequestOutcome {
        if (!this.hasStarted) {
            return { state: OutcomeState.NotRun, reason: OutcomeReason.Cancelled };
        }
        const detail = `Cancelled after a start; ${this.answers.size} of ${this.sizing.count} tasks had finished.`;
        return { state: OutcomeState.Unknown, reason: OutcomeReason.Cancelled, detail };
    }

    /** Outcome of the job when the scheduler gives it up. */
    public rejectedOutcome(detail: string): RequestOutcome {
        if (!this.hasStarted) {
            return { state: OutcomeState.NotRun, reason: OutcomeReason.Infeasible, detail };
        }
        return this.hasStartedTask
            ? { state: OutcomeState.Done, reason: OutcomeReason.NeverSucceeds, detail }
            : { state: OutcomeState.Unknown, reason: OutcomeReason.OwnerLost, detail };
    }

    /** Outcome of the job when a task that must not run again has ended without an answer. */
    public interruptedOutcome(hasFailed: boolean): RequestOutcome {
        return hasFailed
            ? { state: OutcomeState.Done, reason: OutcomeReason.NeverSucceeds, detail: TASK_FAILED_DETAIL }
            : { state: OutcomeState.Unknown, reason: OutcomeReason.TaskInterrupted, detail: TASK_INTERRUPTED_DETAIL };
    }

    /** Describes the job for the next owner of the slice. */
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

    /** Outcome as it stands now. */
    public currentOutcome(): RequestOutcome {
        const state = this.running.size > 0 ? OutcomeState.Running : OutcomeState.Accepted;
        const detail = `${this.answers.size} of ${this.sizing.count} tasks finished`;
        return { state, detail };
    }
}

const INDEX_SEPARATOR = "/";

/** Composes the id of a task. */
export function composeTaskId(requestId: string, taskIndex: number): string {
    return `${requestId}${INDEX_SEPARATOR}${taskIndex}`;
}

/** Returns the index of a task, from its id. */
export function taskIndexOf(taskId: string): number {
    return Number(taskId.slice(taskId.lastIndexOf(INDEX_SEPARATOR) + 1));
}
