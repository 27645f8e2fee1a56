import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { QueueKind } from "@skylarkpath/common/model/OperatorsText";
import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { resolveAttempt } from "../entry/AttemptResolver.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { RequestStore, SliceGuard, StoredRequest } from "../store/RequestStore.js";

/** Tells whether the process that accepted a request may still be serving it. */
export type EntryLivenessCheck = (ownerName: string) => boolean;

/** Finds the address of a target. */
export type TargetAddressLookup = (targetId: string) => string | undefined;

/** Time past its deadline after which a request that its target has not seen is no longer expected there. */
const NEVER_SEEN_MARGIN_MS = 5000;

/** Ends requests that are not idempotent and whose entry died; asks their target and never sends them again. */
export class OrphanLookupResolver implements Disposable {
    private readonly resolving = new Set<string>();
    private disposed = false;

    constructor(
        private readonly environment: Pick<ProcessEnvironment, "log" | "targets" | "timer">,
        private readonly requests: RequestStore,
        private readonly guard: SliceGuard,
        private readonly isEntryAlive: EntryLivenessCheck,
        private readonly addressOf: TargetAddressLookup
    ) {}

    /** Takes in the open requests of the slice, as the store has them. */
    public update(open: readonly StoredRequest[]): void {
        for (const stored of open) {
            const { requestId, entry } = stored.record;
            if (!this.resolving.has(requestId) && !this.isEntryAlive(entry)) {
                this.resolving.add(requestId);
                void this.resolve(stored).finally(() => this.resolving.delete(requestId));
            }
        }
    }

    public dispose(): void {
        this.disposed = true;
    }

    private async resolve(stored: StoredRequest): Promise<void> {
        const outcome = await this.determineOutcome(stored);
        const { requestId, entry } = stored.record;
        if (this.disposed || this.isEntryAlive(entry)) {
            return;
        }
        const final = { ...stored, record: { ...stored.record, outcome } };
        const written = await this.requests.finish(final, [], this.guard);
        if (written.isOk()) {
            this.environment.log.write(EVENTS.orderResolved, { requestId, state: outcome.state });
        }
    }

    private determineOutcome(stored: StoredRequest): Promise<RequestOutcome> {
        const { start, spec } = stored.record;
        if (!start) {
            const detail = "The process that accepted the request died before it was sent.";
            return Promise.resolve({ state: OutcomeState.NotRun, reason: OutcomeReason.OwnerLost, detail });
        }
        const { targets, timer } = this.environment;
        const remainingMs = Math.max(0, spec.deadlineAtMs - timer.wallClockMs());
        return resolveAttempt(targets, timer, {
            attemptId: start.attemptId,
            address: () => this.addressOf(start.targetId),
            askUntilMs: timer.nowMs() + remainingMs + NEVER_SEEN_MARGIN_MS
        });
    }
}

/** Tells whether a request is a look-up that is not idempotent; only such look-ups are recorded. */
export function isNonIdempotentLookup(stored: StoredRequest): boolean {
    return stored.record.spec.kind === QueueKind.Lookup;
}
