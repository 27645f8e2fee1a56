import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import {
    composeRequestId,
    type IdempotencyRecord,
    OutcomeReason,
    OutcomeState,
    type RequestRecord,
    type RequestSpec
} from "@skylarkpath/common/model/Request";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { PeerClient } from "../peer/PeerClient.js";
import { PeerMethod } from "../peer/PeerMessages.js";
import { ownerNameOf, type ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";
import { Backoff } from "../store/Backoff.js";
import type { RequestStore } from "../store/RequestStore.js";
import type { RequestContext } from "./RequestContext.js";
import { notRun, type RequestReply } from "./RequestReply.js";
import { chooseSlice } from "./SliceChoice.js";

const RETRY_AFTER_MS = 2000;
const MAX_SUBMIT_ATTEMPTS = 8;
const INITIAL_SUBMIT_RETRY_DELAY_MS = 20;

/** Commits batch and gang jobs to the store and notifies the owner of their slice. */
export class JobHandler {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly directory: SliceDirectory,
        private readonly requests: RequestStore,
        private readonly machines: () => readonly LiveMachine[]
    ) {}

    /** Accepts a job by committing it; otherwise replies that it did not run or that its acceptance is unknown. */
    public async accept(context: RequestContext): Promise<RequestReply> {
        const { failureDomain, region } = this.environment.identity;
        const location = chooseSlice(context.spec!, this.directory.reachable(failureDomain, region), this.machines());
        if (!location) {
            return notRun(OutcomeReason.NoOwner, "No owner of a slice is known yet.", RETRY_AFTER_MS);
        }
        const record = this.composeRecord(context.spec!, location);
        const bodyHash = this.hashBody(context);
        const acceptance = { record, idempotencyKey: context.idempotencyKey, bodyHash };
        const timeout = sleep(this.environment.timer, this.options.acceptTimeoutMs).then(() => undefined);
        const acceptanceWritten = this.requests.accept(acceptance);
        const written = await Promise.race([acceptanceWritten, timeout]);
        if (written === undefined) {
            void acceptanceWritten.then(lateResult => {
                if (lateResult.isOk()) {
                    void this.notifyOwner(record.requestId, location.sliceId);
                }
            });
            return acceptanceUnknown(record.requestId);
        }
        if (written.isErr()) {
            const refusal = notRun(OutcomeReason.StoreUnavailable, written.error.message, RETRY_AFTER_MS);
            return (await this.findDuplicate(context)) ?? refusal;
        }
        this.environment.log.write(EVENTS.requestAccepted, { requestId: record.requestId, team: record.spec.team });
        void this.notifyOwner(record.requestId, location.sliceId);
        return { requestId: record.requestId, outcome: record.outcome };
    }

    /** Returns the hash of a request body; with the same idempotency key, only an equal hash means a repeat. */
    public hashBody(context: RequestContext): string {
        return this.environment.hasher.hash(JSON.stringify(context.rawBody));
    }

    /** Returns the reply for an earlier request with the same idempotency key, undefined if there certainly is none. */
    public async findDuplicate(context: RequestContext): Promise<RequestReply | undefined> {
        const { idempotencyKey, spec } = context;
        if (idempotencyKey === undefined) {
            return undefined;
        }
        const existing = await this.requests.findIdempotencyRecord(spec!.team, idempotencyKey);
        if (existing.isErr()) {
            return idempotencyUnknown();
        }
        return existing.value && this.replyForDuplicate(existing.value, this.hashBody(context));
    }

    /** Returns the reply for the request that already uses an idempotency key. */
    public async describeDuplicate(team: string, idempotencyKey: string, bodyHash: string): Promise<RequestReply> {
        const existing = await this.requests.findIdempotencyRecord(team, idempotencyKey);
        return existing.isOk() && existing.value
            ? this.replyForDuplicate(existing.value, bodyHash)
            : idempotencyUnknown();
    }

    private async replyForDuplicate(existing: IdempotencyRecord, bodyHash: string): Promise<RequestReply> {
        if (existing.bodyHash !== bodyHash) {
            return notRun(OutcomeReason.IdempotencyConflict, "The Idempotency-Key came with another body before.");
        }
        const { requestId } = existing;
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

    /** Notifies the owner of a committed request; an owner that is not reached finds the request in the store. */
    private async notifyOwner(requestId: string, sliceId: string): Promise<void> {
        const backoff = new Backoff(
            INITIAL_SUBMIT_RETRY_DELAY_MS,
            this.options.heartbeatIntervalMs,
            this.environment.random
        );
        for (let attempt = 0; attempt < MAX_SUBMIT_ATTEMPTS; attempt++) {
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
            await sleep(this.environment.timer, backoff.next());
        }
    }
}

function idempotencyUnknown(): RequestReply {
    const detail = "The store cannot tell whether the Idempotency-Key came before; ask again with it.";
    const reason = OutcomeReason.StoreUnavailable;
    return { outcome: { state: OutcomeState.Unknown, reason, detail, retryAfterMs: RETRY_AFTER_MS } };
}

function acceptanceUnknown(requestId: string): RequestReply {
    const detail = "The store did not confirm the request in time; ask again by its id or Idempotency-Key.";
    const reason = OutcomeReason.StoreUnavailable;
    return { requestId, outcome: { state: OutcomeState.Unknown, reason, detail, retryAfterMs: RETRY_AFTER_MS } };
}
