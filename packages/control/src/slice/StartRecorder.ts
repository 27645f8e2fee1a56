import type { FencingConditions, RequestStore } from "../store/RequestStore.js";
import type { Job } from "./Job.js";

/** Commits a start record for each non-idempotent job before its first task is sent to a worker. */
export class StartRecorder {
    private readonly pending = new Map<string, Promise<boolean>>();

    constructor(
        private readonly sliceId: string,
        private readonly requests: RequestStore,
        private readonly guard: FencingConditions
    ) {}

    /** Returns whether a task of the job may be sent to a worker without waiting for a start record. */
    public isReady(job: Job): boolean {
        return job.isIdempotent || job.hasStartRecord;
    }

    /** Commits the start record; resolves with false when the commit failed and no task may start. */
    public record(job: Job): Promise<boolean> {
        const known = this.pending.get(job.requestId);
        if (known) {
            return known;
        }
        const recording = this.commit(job).finally(() => this.pending.delete(job.requestId));
        this.pending.set(job.requestId, recording);
        return recording;
    }

    private async commit(job: Job): Promise<boolean> {
        const start = { attemptId: job.requestId, targetId: this.sliceId };
        const written = await this.requests.recordStart(job.stored, start, this.guard);
        if (written.isOk()) {
            job.setStartRecord(written.value);
        }
        return written.isOk();
    }
}
