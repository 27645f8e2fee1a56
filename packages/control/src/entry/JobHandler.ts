import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import {
    composeRequestId,
    OutcomeReason,
    OutcomeState,
    type RequestRecord,
    type RequestSpec
} from "@skylarkpath/common/model/Request";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { PeerClient } from "../peer/PeerClient.js";
import { PeerMethod } from "../peer/PeerMessages.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";
import { WriteErrorKind } from "../store/GroupCommitWriter.js";
import type { RequestStore } from "../store/RequestStore.js";
import type { RequestContext } from "./RequestContext.js";
import { notRun, type RequestReply } from "./RequestReply.js";

const RETRY_HINT_MS = 2000;
const SUBMIT_ATTEMPTS = 3;

/** Accepts batch and gang jobs durably and hands them to the owner of a slice. */
export class JobHandler {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly directory: SliceDirectory,
        private readonly requests: RequestStore
    ) {}

    /** Accepts a job: commits it, or says that it did not run. */
    public async accept(context: RequestContext): Promise<RequestReply> {
        const { failureDomain, region } = this.environment.identity;
        const location = this.directory.reachable(failureDomain, region)[0];
        if (!location) {
            return notRun(OutcomeReason.NoOwner, "No owner of a slice is known yet.", RETRY_HINT_MS);
        }
        const record = this.composeRecord(context.spec!, location);
        const bodyHash = this.hashOf(context);
        const acceptance = { record, idempotencyKey: context.idempotencyKey, bodyHash };
        const timeout = sleep(this.environment.timer, this.options.acceptTimeoutMs).then(() => undefined);
        const written = await Promise.race([this.requests.accept(acceptance), timeout]);
        if (written === undefined) {
            return acceptanceUnknown(record.requestId);
        }
        if (written.isErr()) {
            return written.error.kind === WriteErrorKind.Conflict && context.idempotencyKey !== undefined
                ? this.findExisting(record.spec.team, context.idempotencyKey, bodyHash)
                : notRun(OutcomeReason.StoreUnavailable, written.error.message, RETRY_HINT_MS);
        }
        this.environment.log.write(EVENTS.requestAccepted, { requestId: record.requestId, team: record.spec.team });
        void this.handToOwner(record.requestId, location.sliceId);
        return { requestId: record.requestId, outcome: record.outcome };
    }

    /** Hash of what a caller sent, to tell a repeated request from another one. */
    public hashOf(context: RequestContext): string {
        return this.environment.hasher.hash(JSON.stringify(context.rawBody));
    }

    /** Answers for the request that took an idempotency key before. */
    public async findExisting(team: string, idempotencyKey: string, bodyHash: string): Promise<RequestReply> {
        const existing = await this.requests.findByKey(team, idempotencyKey);
        if (existing.isErr() || !existing.value) {
            return notRun(OutcomeReason.StoreUnavailable, "The earlier request cannot be read.", RETRY_HINT_MS);
        }
        if (existing.value.bodyHash !== bodyHash) {
            return notRun(OutcomeReason.IdempotencyConflict, "The Idempotency-Key came with another body before.");
        }
        const { requestId } = existing.value;
        const stored = await this.requests.find(requestId);
        const outcome = stored.isOk() && stored.value
            ? stored.value.record.outcome
            : { state: OutcomeState.Accepted };
        return { requestId, outcome };
    }

    private composeRecord(spec: RequestSpec, location: SliceLocation): RequestRecord {
        return {
            requestId: composeRequestId(location.sliceId, this.environment.hasher.randomToken()),
            sliceId: location.sliceId,
            spec,
            claimEpoch: location.epoch,
            entry: ownerNameOf(this.environment.identity),
            acceptedAtMs: this.environment.timer.wallClockMs(),
            outcome: { state: OutcomeState.Accepted }
        };
    }

    /** Tells the owner of the committed request; an owner that is not reached finds it in the store. */
    private async handToOwner(requestId: string, sliceId: string): Promise<void> {
        for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt++) {
            const location = this.directory.locate(sliceId);
            const reply = location && await this.peerClient.call(
                location.address,
                PeerMethod.SubmitRequest,
                { requestId },
                this.options.peerTimeoutMs
            );
            if (reply?.isOk()) {
                return;
            }
            await sleep(this.environment.timer, this.options.heartbeatIntervalMs);
        }
    }
}

function acceptanceUnknown(requestId: string): RequestReply {
    const detail = "The store did not confirm the request in time; ask again by its id or Idempotency-Key.";
    const reason = OutcomeReason.StoreUnavailable;
    return { requestId, outcome: { state: OutcomeState.Unknown, reason, detail, retryAfterMs: RETRY_HINT_MS } };
}
