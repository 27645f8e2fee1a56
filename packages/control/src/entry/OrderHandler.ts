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
import { sleep } from "@skylarkpath/common/time/TimerService";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { SliceDirectory } from "../slice/SliceDirectory.js";
import { WriteErrorKind } from "../store/GroupCommitWriter.js";
import type { RequestStore, StoredRequest } from "../store/RequestStore.js";
import { resolveAttempt } from "./AttemptResolver.js";
import type { JobHandler } from "./JobHandler.js";
import type { LookupHandler } from "./LookupHandler.js";
import type { RequestContext } from "./RequestContext.js";
import { notRun, type RequestReply } from "./RequestReply.js";
import type { AcquiredSlot, SlotClient } from "./SlotClient.js";

const RETRY_HINT_MS = 2000;
const FINISH_RETRY_MS = 500;

/** Serves requests that are not idempotent: a committed start record goes before the only dispatch. */
export class OrderHandler {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly directory: SliceDirectory,
        private readonly requests: RequestStore,
        private readonly slots: SlotClient,
        private readonly lookups: LookupHandler,
        private readonly jobs: JobHandler
    ) {}

    /** Serves a request at most once. */
    public async serve(context: RequestContext): Promise<RequestReply> {
        const spec = context.spec!;
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + spec.deadlineAtMs - timer.wallClockMs();
        const { failureDomain, region } = this.environment.identity;
        const location = this.directory.reachable(failureDomain, region)[0];
        if (!location) {
            return notRun(OutcomeReason.NoOwner, "No owner of a slice is known yet.", RETRY_HINT_MS);
        }
        const remainingMs = deadlineMs - timer.nowMs();
        const reply = await this.slots.acquire(location, { team: spec.team, queue: spec.queue, remainingMs });
        if ("shed" in reply) {
            return notRun(OutcomeReason.Overloaded, `No slot: ${reply.shed}.`, RETRY_HINT_MS);
        }
        const record = this.composeRecord(spec, location.sliceId, location.epoch, reply.slot);
        const accepted = await this.accept(context, record, reply.slot);
        if (!("stored" in accepted)) {
            return accepted;
        }
        return this.dispatch(accepted.stored, reply.slot, deadlineMs);
    }

    private async accept(
        context: RequestContext,
        record: RequestRecord,
        slot: AcquiredSlot
    ): Promise<RequestReply | { readonly stored: StoredRequest; }> {
        const bodyHash = this.jobs.hashOf(context);
        const written = await this.requests.accept({ record, idempotencyKey: context.idempotencyKey, bodyHash });
        if (written.isOk()) {
            const { requestId } = record;
            this.environment.log.write(EVENTS.requestAccepted, { requestId, team: record.spec.team });
            return { stored: { record, version: written.value.version } };
        }
        this.slots.release(slot, { latencyMs: 0, succeeded: false, unfinished: false });
        return written.error.kind === WriteErrorKind.Conflict && context.idempotencyKey !== undefined
            ? this.jobs.findExisting(record.spec.team, context.idempotencyKey, bodyHash)
            : notRun(OutcomeReason.StoreUnavailable, written.error.message, RETRY_HINT_MS);
    }

    private async dispatch(stored: StoredRequest, slot: AcquiredSlot, deadlineMs: number): Promise<RequestReply> {
        const { record } = stored;
        const { timer } = this.environment;
        const remainingMs = deadlineMs - timer.nowMs();
        const outcome = remainingMs > 0
            ? await this.run(stored, slot, remainingMs)
            : notRun(OutcomeReason.DeadlinePassed).outcome;
        if (remainingMs <= 0) {
            this.slots.release(slot, { latencyMs: 0, succeeded: false, unfinished: false });
        }
        const committed = this.finish(stored, outcome);
        if (outcome.state === OutcomeState.NotRun) {
            await committed;
        }
        return { requestId: record.requestId, outcome };
    }

    private async run(stored: StoredRequest, slot: AcquiredSlot, remainingMs: number): Promise<RequestOutcome> {
        const { record } = stored;
        const result = await this.lookups.dispatch(record.requestId, record.spec, slot, remainingMs);
        if (result.isOk()) {
            return { state: OutcomeState.Done, answers: [result.value.answer] };
        }
        switch (result.error.kind) {
            case TargetErrorKind.Failed:
                return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed, detail: result.error.message };
            case TargetErrorKind.Refused:
            case TargetErrorKind.Unreachable:
                return notRun(OutcomeReason.NoTarget, result.error.message, RETRY_HINT_MS).outcome;
            case TargetErrorKind.ReplyLost:
                return resolveAttempt(this.environment, slot.address, slot.lookupId);
        }
    }

    /** Commits the outcome, however long the store takes. */
    private async finish(stored: StoredRequest, outcome: RequestOutcome): Promise<void> {
        const final = { ...stored, record: { ...stored.record, outcome } };
        for (;;) {
            const written = await this.requests.finish(final, [], () => []);
            if (written.isOk() || written.error.kind === WriteErrorKind.Conflict) {
                const { requestId } = stored.record;
                this.environment.log.write(EVENTS.requestEnded, { requestId, state: outcome.state });
                return;
            }
            await sleep(this.environment.timer, FINISH_RETRY_MS);
        }
    }

    private composeRecord(spec: RequestSpec, sliceId: string, epoch: number, slot: AcquiredSlot): RequestRecord {
        return {
            requestId: composeRequestId(sliceId, this.environment.hasher.randomToken()),
            sliceId,
            spec,
            claimEpoch: epoch,
            entry: ownerNameOf(this.environment.identity),
            acceptedAtMs: this.environment.timer.wallClockMs(),
            outcome: { state: OutcomeState.Running },
            start: { attemptId: slot.lookupId, targetId: slot.targetId }
        };
    }
}
