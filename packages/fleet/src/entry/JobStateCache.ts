import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { isFinal, JobPhase } from "../model/JobSpec.js";

/** Last known state of a job. */
export interface CachedJob {
    readonly phase: JobPhase;
    readonly team: string;
    readonly queue: string;
    readonly recordedAtMs: number;
}

/** The oldest states are dropped above this number; they can be read from the store again. */
const MAX_CACHED_JOBS = 50_000;

/** Cache of job states, so that most state requests need neither the owner nor the store. */
export class JobStateCache {
    private readonly jobs = new Map<string, CachedJob>();

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    public get(id: string): CachedJob | undefined {
        return this.jobs.get(id);
    }

    /** Records a state; a final state is never replaced, nor a running one by a queued one. */
    public record(id: string, phase: JobPhase, team: string, queue: string): void {
        const previous = this.jobs.get(id);
        if (
            previous && (isFinal(previous.phase) || (previous.phase === JobPhase.Running && phase === JobPhase.Queued))
        ) {
            return;
        }
        this.jobs.delete(id);
        this.jobs.set(id, { phase, team, queue, recordedAtMs: this.timer.nowMs() });
        this.prune();
    }

    /** Drops all states that are not final: they may have changed without this process being notified. */
    public dropNonFinal(): void {
        for (const [id, job] of this.jobs) {
            if (!isFinal(job.phase)) {
                this.jobs.delete(id);
            }
        }
    }

    private prune(): void {
        const oldestMs = this.timer.nowMs() - this.retentionMs;
        for (const [id, job] of this.jobs) {
            const isOld = isFinal(job.phase) && job.recordedAtMs < oldestMs;
            if (!isOld && this.jobs.size <= MAX_CACHED_JOBS) {
                return;
            }
            this.jobs.delete(id);
        }
    }
}
