import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { isFinal, JobPhase } from "../model/JobSpec.js";

/** State of a job as an entry knows it. */
export interface KnownJob {
    readonly phase: JobPhase;
    readonly team: string;
    readonly queue: string;
    readonly notedAtMs: number;
}

/** Final states are asked of the store again once this many are known. */
const MAXIMUM_KNOWN = 50_000;

/** States of jobs that this entry knows, so that most questions need neither the owner nor the store. */
export class JobStates {
    private readonly known = new Map<string, KnownJob>();

    constructor(private readonly timer: TimerService, private readonly retentionMs: number) {}

    public get(id: string): KnownJob | undefined {
        return this.known.get(id);
    }

    /** Notes a state; a final one is never replaced. */
    public note(id: string, phase: JobPhase, team: string, queue: string): void {
        const former = this.known.get(id);
        if (former && (isFinal(former.phase) || (former.phase === JobPhase.Running && phase === JobPhase.Queued))) {
            return;
        }
        this.known.delete(id);
        this.known.set(id, { phase, team, queue, notedAtMs: this.timer.nowMs() });
        this.prune();
    }

    /** Forgets all states that are not final: they may have changed unseen. */
    public forgetRunning(): void {
        for (const [id, job] of this.known) {
            if (!isFinal(job.phase)) {
                this.known.delete(id);
            }
        }
    }

    private prune(): void {
        const oldestMs = this.timer.nowMs() - this.retentionMs;
        for (const [id, job] of this.known) {
            const isOld = isFinal(job.phase) && job.notedAtMs < oldestMs;
            if (!isOld && this.known.size <= MAXIMUM_KNOWN) {
                return;
            }
            this.known.delete(id);
        }
    }
}
