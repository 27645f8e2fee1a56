import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import {
    composeRequestId,
    OutcomeReason,
    OutcomeState,
    type RequestOutcome,
    type RequestRecord,
    type RequestSpec
} from "@skylarkpath/common/model/Request";
import { TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import { ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import { sleep } from "@skylarkpath/common/time/TimerService";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";
import { WriteErrorKind } from "../store/GroupCommitWriter.js";
import type { RequestStore, StoredRequest } from "../store/RequestStore.js";
import { resolveAttempt } from "./AttemptResolver.js";
import type { JobHandler } from "./JobHandler.js";
import type { LookupHandler } from "./LookupHandler.js";
import type { OutcomeWriter } from "./OutcomeWriter.js";
import type { RequestContext } from "./RequestContext.js";
import { notRun, type RequestReply } from "./RequestReply.js";
import type { AcquiredSlot, SlotClient } from "./SlotClient.js";

interface AcquiredLocation {
    readonly location: SliceLocation;
    readonly slot: AcquiredSlot;
}

const RETRY_AFTER_MS = 2000;
/** Time after the deadline of a request for which its caller waits for the outcome. */
const REPLY_MARGIN_MS = 1000;
/** Maximum age of the last confirmation that a record is open; an older one is renewed before dispatch. */
const MAX_OPEN_CHECK_AGE_MS = 1000;
/** Time after a lost reply until a target that does not report the attempt as running or ended is given up. */
const ATTEMPT_REPORT_TIMEOUT_MS = 30_000;
const UNUSED_SLOT_RESULT = { latencyMs: 0, succeeded: false, unfinished: false };

/** Serves look-ups that are not idempotent: the start record is committed before the single dispatch. */
export class NonIdempotentLookupHandler {
    private openRequests = 0;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly directory: SliceDirectory,
        private readonly requests: RequestStore,
        private readonly slotClient: SlotClient,
        private readonly lookupHandler: LookupHandler,
        private readonly jobHandler: JobHandler,
        private readonly outcomeWriter: OutcomeWriter
    ) {}

    /** Number of requests being served plus outcomes being committed; zero once every accepted request is final. */
    public get openCount(): number {
        return this.openRequests;
    }

    /** Serves a look-up, which is dispatched at most once. */
    public async serve(context: RequestContext): Promise<RequestReply> {
        const spec = context.spec!;
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + spec.deadlineAtMs - timer.wallClockMs();
        const duplicate = await this.jobHandler.findDuplicate(context);
        if (duplicate) {
            return duplicate;
        }
        const acquired = await this.acquire(spec, deadlineMs);
        if ("shed" in acquired) {
            const refusal = notRun(OutcomeReason.Overloaded, `No slot: ${acquired.shed}.`, RETRY_AFTER_MS);
            return (await this.jobHandler.findDuplicate(context)) ?? refusal;
        }
        const record = this.composeRecord(spec, acquired);
        const acceptStartedAtMs = timer.nowMs();
        let stored: StoredRequest | undefined;
        const work = this.trackOpen(async () => {
            const accepted = await this.accept(context, record, acquired.slot);
            if (!("stored" in accepted)) {
                return accepted;
            }
            stored = accepted.stored;
            return this.execute(accepted.stored, acquired.slot, deadlineMs, acceptStartedAtMs);
        });
        const timeout = sleep(timer, deadlineMs + REPLY_MARGIN_MS - timer.nowMs()).then(() => undefined);
        return (await Promise.race([work, timeout])) ?? timeoutReply(record.requestId, stored !== undefined);
    }

    private async trackOpen<T>(work: () => Promise<T>): Promise<T> {
        this.openRequests++;
        try {
            return await work();
        }
        finally {
            this.openRequests--;
        }
    }

    /** Asks the slice owners for a slot, nearest first. */
    private async acquire(
        spec: RequestSpec,
        deadlineMs: number
    ): Promise<AcquiredLocation | { readonly shed: ShedReason; }> {
        const { identity, timer } = this.environment;
        let shed = ShedReason.NoTarget;
        for (const location of this.directory.reachable(identity.failureDomain, identity.region)) {
            const remainingMs = deadlineMs - timer.nowMs();
            if (remainingMs <= 0) {
                return { shed: ShedReason.DeadlinePassed };
            }
            const reply = await this.slotClient.acquire(location, { team: spec.team, queue: spec.queue, remainingMs });
            if ("slot" in reply) {
                return { location, slot: reply.slot };
            }
            shed = reply.shed;
        }
        return { shed };
    }

    private async accept(
        context: RequestContext,
        record: RequestRecord,
        slot: AcquiredSlot
    ): Promise<RequestReply | { readonly stored: StoredRequest; }> {
        const bodyHash = this.jobHandler.hashBody(context);
        const written = await this.requests.accept({ record, idempotencyKey: context.idempotencyKey, bodyHash });
        if (written.isOk()) {
            const { requestId } = record;
            this.environment.log.write(EVENTS.requestAccepted, { requestId, team: record.spec.team });
            return { stored: { record, version: written.value.version } };
        }
        this.slotClient.release(slot, UNUSED_SLOT_RESULT);
        return written.error.kind === WriteErrorKind.Conflict && context.idempotencyKey !== undefined
            ? this.jobHandler.describeDuplicate(record.spec.team, context.idempotencyKey, bodyHash)
            : notRun(OutcomeReason.StoreUnavailable, written.error.message, RETRY_AFTER_MS);
    }

    private async execute(
        stored: StoredRequest,
        slot: AcquiredSlot,
        deadlineMs: number,
        acceptStartedAtMs: number
    ): Promise<RequestReply> {
        const { requestId } = stored.record;
        const refusal = await this.checkBeforeDispatch(stored, deadlineMs, acceptStartedAtMs);
        if (refusal) {
            this.slotClient.release(slot, UNUSED_SLOT_RESULT);
        }
        const outcome = refusal ?? await this.run(stored, slot, deadlineMs - this.environment.timer.nowMs());
        const committed = this.trackOpen(() => this.outcomeWriter.commit(stored, outcome));
        return { requestId, outcome: outcome.state === OutcomeState.Done ? outcome : await committed };
    }

    /** Returns why the request must not be sent: past its deadline, closed, or not confirmed as open by the store. */
    private async checkBeforeDispatch(
        stored: StoredRequest,
        deadlineMs: number,
        acceptStartedAtMs: number
    ): Promise<RequestOutcome | undefined> {
        const { timer } = this.environment;
        let confirmedOpenAtMs = acceptStartedAtMs;
        while (timer.nowMs() < deadlineMs) {
            if (timer.nowMs() - confirmedOpenAtMs <= MAX_OPEN_CHECK_AGE_MS) {
                return undefined;
            }
            confirmedOpenAtMs = timer.nowMs();
            const openCheck = await this.requests.isOpen(stored);
            if (openCheck.isOk() && !openCheck.value) {
                return notRun(OutcomeReason.OwnerLost, "The request was closed before it was sent.").outcome;
            }
            if (openCheck.isErr()) {
                return notRun(OutcomeReason.StoreUnavailable, openCheck.error.message).outcome;
            }
        }
        return notRun(OutcomeReason.DeadlinePassed).outcome;
    }

    private async run(stored: StoredRequest, slot: AcquiredSlot, remainingMs: number): Promise<RequestOutcome> {
        const { targets, timer } = this.environment;
        const { record } = stored;
        const result = await this.lookupHandler.dispatch(record.requestId, record.spec, slot, remainingMs);
        if (result.isOk()) {
            return { state: OutcomeState.Done, answers: [result.value.answer] };
        }
        switch (result.error.kind) {
            case TargetErrorKind.Failed:
                return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed, detail: result.error.message };
            case TargetErrorKind.Refused:
            case TargetErrorKind.Unreachable:
                return notRun(OutcomeReason.NoTarget, result.error.message, RETRY_AFTER_MS).outcome;
            case TargetErrorKind.ReplyLost:
                return resolveAttempt(targets, timer, {
                    attemptId: slot.lookupId,
                    address: () => slot.address,
                    pollUntilMs: timer.nowMs() + ATTEMPT_REPORT_TIMEOUT_MS
                });
        }
    }

    private composeRecord(spec: RequestSpec, acquired: AcquiredLocation): RequestRecord {
        const { location, slot } = acquired;
        return {
            requestId: composeRequestId(location.sliceId, this.environment.hasher.randomToken()),
            sliceId: location.sliceId,
            spec,
            claimEpoch: location.epoch,
            entry: ownerNameOf(this.environment.identity),
            acceptedAtMs: this.environment.timer.wallClockMs(),
            outcome: { state: OutcomeState.Running },
            start: { attemptId: slot.lookupId, targetId: slot.targetId }
        };
    }
}

/** Composes the reply for a request without an outcome in time; an accepted request gets its outcome later. */
function timeoutReply(requestId: string, isAccepted: boolean): RequestReply {
    if (isAccepted) {
        const detail = "The outcome is not known yet; ask again by the id.";
        return { requestId, outcome: { state: OutcomeState.Running, detail } };
    }
    const detail = "The store did not confirm the request in time; ask again by its id or Idempotency-Key.";
    return {
        requestId,
        outcome: { state: OutcomeState.Unknown, reason: OutcomeReason.StoreUnavailable, detail }
    };
}
