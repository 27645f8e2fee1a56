import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { isFinal, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import { Backoff } from "../store/Backoff.js";
import { WriteErrorKind } from "../store/GroupCommitWriter.js";
import type { FencingConditions, RequestStore, StoredRequest } from "../store/RequestStore.js";

const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 8000;
const NO_GUARD: FencingConditions = () => [];

/** Commits outcomes of requests; retries without limit until a final outcome is in the store. */
export class OutcomeWriter {
    constructor(
        private readonly environment: Pick<ProcessEnvironment, "log" | "random" | "timer">,
        private readonly requests: RequestStore
    ) {}

    /** Commits an outcome; resolves with the final one, which another process may have written. */
    public async commit(stored: StoredRequest, outcome: RequestOutcome): Promise<RequestOutcome> {
        const backoff = new Backoff(INITIAL_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, this.environment.random);
        for (;;) {
            const finalOutcome = await this.tryCommit(stored, outcome);
            if (finalOutcome) {
                const { requestId } = stored.record;
                this.environment.log.write(EVENTS.requestEnded, { requestId, state: finalOutcome.state });
                return finalOutcome;
            }
            await sleep(this.environment.timer, backoff.next());
        }
    }

    private async tryCommit(stored: StoredRequest, outcome: RequestOutcome): Promise<RequestOutcome | undefined> {
        const final = { ...stored, record: { ...stored.record, outcome } };
        const written = await this.requests.finish(final, [], NO_GUARD);
        if (written.isOk()) {
            return outcome;
        }
        return written.error.kind === WriteErrorKind.Conflict ? this.resolveConflict(stored, outcome) : undefined;
    }

    /** Returns the outcome that another process has committed; a done outcome first replaces an unknown one. */
    private async resolveConflict(stored: StoredRequest, outcome: RequestOutcome): Promise<RequestOutcome | undefined> {
        const found = await this.requests.find(stored.record.requestId);
        const existing = found.isOk() ? found.value : undefined;
        if (!existing || !isFinal(existing.record.outcome)) {
            return undefined;
        }
        const replacesUnknown = existing.record.outcome.state === OutcomeState.Unknown
            && outcome.state === OutcomeState.Done;
        if (!replacesUnknown) {
            return existing.record.outcome;
        }
        const replaced = await this.requests.replaceOutcome(existing, outcome);
        return replaced.isOk() ? outcome : undefined;
    }
}
