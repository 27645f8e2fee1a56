import { isFinal, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { WriteErrorKind } from "../store/GroupCommitWriter.js";
import type { FencingConditions, RequestStore } from "../store/RequestStore.js";
import type { Job } from "./Job.js";

/** Result of committing an outcome. */
export interface OutcomeCommitResult {
    /** Final outcome in the store; absent when none is known to be committed. */
    readonly finalOutcome?: RequestOutcome;
    /** The write was refused, for example because another process owns the slice. */
    readonly isConflict: boolean;
}

/** Commits the final outcomes of the jobs of a slice. */
export class JobOutcomeWriter {
    constructor(private readonly requests: RequestStore, private readonly guard: FencingConditions) {}

    /** Commits an outcome; after a conflict, returns the final outcome that another process has written, if any. */
    public async commit(job: Job, outcome: RequestOutcome): Promise<OutcomeCommitResult> {
        const stored = { ...job.stored, record: { ...job.stored.record, outcome } };
        const written = await this.requests.finish(stored, job.finishedIndexes, this.guard);
        if (written.isOk()) {
            return { finalOutcome: outcome, isConflict: false };
        }
        const isConflict = written.error.kind === WriteErrorKind.Conflict;
        return { finalOutcome: isConflict ? await this.readFinalOutcome(job) : undefined, isConflict };
    }

    private async readFinalOutcome(job: Job): Promise<RequestOutcome | undefined> {
        const stored = await this.requests.find(job.requestId);
        const outcome = stored.isOk() ? stored.value?.record.outcome : undefined;
        return outcome && isFinal(outcome) ? outcome : undefined;
    }
}
