import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { resolveAttempt } from "../entry/AttemptResolver.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { FencingConditions, RequestStore, StoredRequest } from "../store/RequestStore.js";

/** Returns whether the process that accepted a request may still be serving it. */
export type EntryLivenessCheck = (ownerName: string) => boolean;

/** Returns the address of a target, or undefined when it is not known. */
export type TargetAddressLookup = (targetId: string) => string | undefined;

/** Time after a request's deadline for which it may still arrive at a target that has not seen it. */
const NEVER_SEEN_MARGIN_MS = 5000;

/**
 * Ends non-idempotent look-ups whose entry process (the one that accepted them) has died. It asks the target for the
 * outcome and never sends a look-up again.
 */
export class OrphanLookupResolver implements Disposable {
    private readonly resolving = new Set<string>();
    private disposed = false;

    constructor(
        private readonly environment: Pick<ProcessEnvironment, "log" | "targets" | "timer">,
        private readonly requests: RequestStore,
        private readonly guard: FencingConditions,
        private readonly isEntryAlive: EntryLivenessCheck,
        private readonly addressOf: TargetAddressLookup
    ) {}

    /** Starts to resolve those of the open look-ups whose entry process has died. */
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
            pollUntilMs: timer.nowMs() + remainingMs + NEVER_SEEN_MARGIN_MS
        });
    }
}

/** Returns whether a stored request is a non-idempotent look-up; idempotent look-ups are never stored. */
export function isNonIdempotentLookup(stored: StoredRequest): boolean {
    return stored.record.spec.kind === QueueKind.Lookup;
}
