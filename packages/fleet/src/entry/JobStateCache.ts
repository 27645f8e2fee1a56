import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
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

/** Cache of the states of jobs that were handed in or asked for here; the owner tells their changes. */
export class JobStateCache implements Disposable {
    private readonly jobs = new Map<string, CachedJob>();
    /** Jobs that are not final. */
    private readonly unfinished = new Set<string>();
    private readonly unfinishedAdded = new Emitter<string>();

    /** Fires when a job is recorded for the first time, in a state that is not final. */
    public readonly onUnfinishedAdded = this.unfinishedAdded.event;

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    public get(id: string): CachedJob | undefined {
        return this.jobs.get(id);
    }

    /** States of the jobs that are not final. */
    public unfinishedPhases(): Record<string, JobPhase> {
        return Object.fromEntries([...this.unfinished].map(id => [id, this.jobs.get(id)!.phase]));
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
        if (isFinal(phase)) {
            this.unfinished.delete(id);
        }
        else {
            this.unfinished.add(id);
        }
        this.prune();
        if (!previous && !isFinal(phase)) {
            this.unfinishedAdded.fire(id);
        }
    }

    /** Records a new state of a job that is in the cache; others are ignored. */
    public update(id: string, phase: JobPhase): void {
        const job = this.jobs.get(id);
        if (job) {
            this.record(id, phase, job.team, job.queue);
        }
    }

    /** Drops a state; it is read from the store when it is asked for again. */
    public drop(id: string): void {
        this.jobs.delete(id);
        this.unfinished.delete(id);
    }

    public dispose(): void {
        this.unfinishedAdded.dispose();
    }

    private prune(): void {
        const oldestMs = this.timer.nowMs() - this.retentionMs;
        for (const [id, job] of this.jobs) {
            const isOld = isFinal(job.phase) && job.recordedAtMs < oldestMs;
            if (!isOld && this.jobs.size <= MAX_CACHED_JOBS) {
                return;
            }
            this.drop(id);
        }
    }
}
