import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import type { QueueConfig } from "../model/FleetConfig.js";
import type { JobSpec, StepSpec } from "../model/JobSpec.js";
import { countQuestionWorkers } from "../model/questionSize.js";
import type { PrefetchedPermits } from "../ports/OwnerClient.js";
import { formatStepName } from "../state/TaskName.js";
import type { PolicyQueue } from "./PolicyQueue.js";

/** Permits for a job with the time at which they arrived. */
export interface TimedPermits {
    readonly permits: Omit<PrefetchedPermits, "ageMs">;
    readonly answeredAtMs: number;
}

/** Permits for the first step of a job that is being stored; resolves to undefined when there are none in time. */
export type PendingPermits = Promise<TimedPermits | undefined>;

/** Candidates of this age are no longer asked about: the owner sends new ones several times as often. */
const MAX_CANDIDATE_AGE_MS = 2500;
/** Workers in the questions that wait at this entry, above which the owner finds a less busy one. */
const MAX_OPEN_WORKERS = 40;
/** The owner is told of a stored job at the latest after this time, with permits or without them. */
const MAX_WAIT_MS = 60;

/**
 * Asks the placement policy about new jobs while they are being stored, so that the owner has no question to ask about
 * them. Covers first steps of a few tasks; the owner asks about all others.
 */
export class PermitPrefetcher {
    private candidates: Readonly<Record<string, readonly string[]>> = {};
    private updatedAtMs = Number.NEGATIVE_INFINITY;
    private position = 0;

    constructor(private readonly policyQueue: PolicyQueue, private readonly timer: TimerService) {}

    /** Sets the workers to ask about, by pool. */
    public setCandidates(candidates: Readonly<Record<string, readonly string[]>>): void {
        this.candidates = candidates;
        this.updatedAtMs = this.timer.nowMs();
    }

    /** Asks about the first step of a job; returns undefined when the owner has to ask. */
    public prefetch(job: JobSpec, queue: QueueConfig): PendingPermits | undefined {
        const [step] = job.steps;
        const workerIds = this.chooseWorkers(queue, step);
        const isPlain = step && isUnconstrained(step) && job.schedule.occurrences === 0;
        return queue.policy && isPlain && workerIds && this.policyQueue.openWorkers <= MAX_OPEN_WORKERS
            ? this.ask(job.id, workerIds)
            : undefined;
    }

    /** Returns the permits, or undefined if they take too long. */
    public awaitPermits(pending: PendingPermits): PendingPermits {
        return Promise.race([pending, sleep(this.timer, MAX_WAIT_MS).then(() => undefined)]);
    }

    /** Returns the next workers of the list; undefined if it has too few of them or is too old. */
    private chooseWorkers({ pool }: QueueConfig, step: StepSpec | undefined): readonly string[] | undefined {
        const candidates = this.candidates[pool] ?? [];
        const count = step ? countQuestionWorkers(step.taskCount) : 0;
        const isFresh = this.timer.nowMs() - this.updatedAtMs < MAX_CANDIDATE_AGE_MS;
        if (!isFresh || count === 0 || candidates.length < count) {
            return undefined;
        }
        const chosen = Array.from(
            { length: count },
            (...[, index]) => candidates[(this.position + index) % candidates.length]!
        );
        this.position = (this.position + count) % candidates.length;
        return chosen;
    }

    private async ask(jobId: string, workerIds: readonly string[]): PendingPermits {
        const step = formatStepName(jobId, 0, 0);
        const askedAtMs = this.timer.nowMs();
        const isWanted = (): boolean => this.timer.nowMs() - askedAtMs < MAX_WAIT_MS;
        const answer = await this.policyQueue.ask({ number: 0, step, workerIds }, isWanted);
        return answer && {
            permits: { jobId, workerIds, permits: answer.permits, permitMs: answer.permitMs },
            answeredAtMs: this.timer.nowMs()
        };
    }
}

/** Whether any worker with room is as good as another for the step. */
function isUnconstrained({ gang, workerLabel, nearRack, sameRack }: StepSpec): boolean {
    return !gang && !sameRack && workerLabel === undefined && nearRack === undefined;
}
