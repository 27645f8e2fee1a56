import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { isFinal, JobPhase } from "../model/JobSpec.js";

/** State of a job as an entry knows it. */
export interface CachedJob {
    readonly phase: JobPhase;
    readonly team: string;
    readonly queue: string;
    readonly recordedAtMs: number;
}

/** Final states are asked of the store again once this many are known. */
const MAX_CACHED_JOBS = 50_000;

/** States of jobs that this entry knows, so that most questions need neither the owner nor the store. */
export class JobStates {
    private readonly known = new Map<string, CachedJob>();

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    public get(id: string): CachedJob | undefined {
        return this.known.get(id);
    }

    /** Notes a state; a final one is never replaced. */
    public record(id: string, phase: JobPhase, team: string, queue: string): void {
        const previous = this.known.get(id);
        if (
            previous && (isFinal(previous.phase) || (previous.phase === JobPhase.Running && phase === JobPhase.Queued))
        ) {
            return;
        }
        this.known.delete(id);
        this.known.set(id, { phase, team, queue, recordedAtMs: this.timer.nowMs() });
        this.prune();
    }

    /** Forgets all states that are not final: they may have changed unseen. */
    public dropNonFinal(): void {
        for (const [id, job] of this.known) {
            if (!isFinal(job.phase)) {
                this.known.delete(id);
            }
        }
    }

    private prune(): void {
        const oldestMs = this.timer.nowMs() - this.retentionMs;
        for (const [id, job] of this.known) {
            const isOld = isFinal(job.phase) && job.recordedAtMs < oldestMs;
            if (!isOld && this.known.size <= MAX_CACHED_JOBS) {
                return;
            }
            this.known.delete(id);
        }
    }
}
