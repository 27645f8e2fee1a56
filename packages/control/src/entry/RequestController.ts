import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import {
    isFinal,
    OutcomeReason,
    OutcomeState,
    type RequestOutcome,
    sliceOfRequestId
} from "@skylarkpath/common/model/Request";
import type { LiveMachine } from "@skylarkpath/common/platform/LiveList";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { ConfigController } from "../config/ConfigController.js";
import type { KeyController } from "../keys/KeyController.js";
import type { PeerClient } from "../peer/PeerClient.js";
import { PeerMethod } from "../peer/PeerMessages.js";
import type { PauseDetector } from "../process/PauseDetector.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ProcessOptions } from "../process/ProcessOptions.js";
import type { JobDescription } from "../slice/JobDescription.js";
import type { SliceDirectory } from "../slice/SliceDirectory.js";
import type { RequestStore } from "../store/RequestStore.js";
import { bodyFilter } from "./BodyFilter.js";
import { createAdmissionFilter, createKeyFilter, createQueueFilter, createSpecFilter } from "./EntryFilters.js";
import { JobHandler } from "./JobHandler.js";
import { LookupHandler } from "./LookupHandler.js";
import { NonIdempotentLookupHandler } from "./NonIdempotentLookupHandler.js";
import { OutcomeWriter } from "./OutcomeWriter.js";
import { chainFilters, type RequestContext, type RequestHandler } from "./RequestContext.js";
import { outcomeUnknown, type RequestReply, requestUnknown } from "./RequestReply.js";
import { SlotClient } from "./SlotClient.js";

interface CachedLookup {
    readonly team: string;
    readonly queue: string;
    outcome: RequestOutcome;
    cancelled: boolean;
}

/** Query of a caller about a request. */
export interface RequestQuery {
    readonly requestId: string;
    readonly key?: string;
    /** Maximum wait for a final outcome. */
    readonly waitMs: number;
}

/** Reply of a slice owner to a query about a request; without a description when the owner does not know it. */
export interface DescribeReply {
    readonly description?: JobDescription;
}

/** Returns whether the caller may see a request of a team and queue. */
type AccessCheck = (request: { readonly team: string; readonly queue: string; }) => boolean;

const POLL_INTERVAL_MS = 100;

/** Submits, describes and cancels requests for callers. */
export class RequestController implements Disposable {
    private readonly store = new DisposableStore();
    private readonly lookupsById = new Map<string, CachedLookup>();
    private readonly lookupHandler: LookupHandler;
    private readonly nonIdempotentLookups: NonIdempotentLookupHandler;
    private readonly jobHandler: JobHandler;
    private readonly chain: RequestHandler;
    private inProgress = 0;

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly options: ProcessOptions,
        private readonly peerClient: PeerClient,
        private readonly directory: SliceDirectory,
        private readonly requests: RequestStore,
        private readonly config: ConfigController,
        private readonly keys: KeyController,
        private readonly isAdmitting: () => boolean,
        pauses: PauseDetector,
        machines: () => readonly LiveMachine[]
    ) {
        const slotClient = new SlotClient(environment, peerClient, directory, pauses);
        this.lookupHandler = new LookupHandler(environment, directory, slotClient);
        this.jobHandler = new JobHandler(environment, options, peerClient, directory, requests, machines);
        const outcomeWriter = new OutcomeWriter(environment, requests);
        this.nonIdempotentLookups = new NonIdempotentLookupHandler(
            environment,
            directory,
            requests,
            slotClient,
            this.lookupHandler,
            this.jobHandler,
            outcomeWriter
        );
        this.chain = chainFilters(
            [
                createAdmissionFilter(isAdmitting),
                bodyFilter,
                createQueueFilter(config),
                createKeyFilter(keys),
                createSpecFilter(config, environment.timer)
            ],
            context => this.handle(context)
        );
    }

    /** Calls in progress plus non-idempotent look-ups that are still being served or committed. */
    public get inProgressCount(): number {
        return this.inProgress + this.nonIdempotentLookups.openCount;
    }

    /** Submits a request; resolves with the outcome of a look-up so far, or with the acceptance of a job. */
    public submit(context: RequestContext): Promise<RequestReply> {
        return this.serve(async () => {
            const reply = await this.chain(context);
            if (reply.outcome.state === OutcomeState.NotRun) {
                this.environment.log.write(EVENTS.requestRefused, { reason: reply.outcome.reason });
            }
            return reply;
        });
    }

    /** Describes a request of the caller's team after waiting at most `waitMs` for its final outcome. */
    public describe(query: RequestQuery): Promise<RequestReply> {
        return this.serve(() => this.waitForOutcome(query));
    }

    /** Describes a request of any team, for operators. */
    public explain(requestId: string): Promise<RequestReply> {
        return this.serve(() => this.findRequest(requestId, () => true));
    }

    /** Cancels a request of the caller's team and returns its state afterwards. */
    public cancel(query: RequestQuery): Promise<RequestReply> {
        return this.serve(() => this.cancelNow(query));
    }

    public dispose(): void {
        this.store.dispose();
    }

    /** Counts a call as in progress, so that a graceful stop waits for it. */
    private async serve(call: () => Promise<RequestReply>): Promise<RequestReply> {
        this.inProgress++;
        try {
            return await call();
        }
        finally {
            this.inProgress--;
        }
    }

    /** Waits for a final outcome, but not while the process is stopping or not ready; the caller can use another. */
    private async waitForOutcome(query: RequestQuery): Promise<RequestReply> {
        const endMs = this.environment.timer.nowMs() + query.waitMs;
        for (;;) {
            const reply = await this.describeNow(query);
            const isTimeUp = this.environment.timer.nowMs() >= endMs || !this.isAdmitting();
            const isDone = isFinal(reply.outcome) || isTimeUp;
            if (isDone) {
                return reply;
            }
            await sleep(this.environment.timer, POLL_INTERVAL_MS);
        }
    }

    private async cancelNow(query: RequestQuery): Promise<RequestReply> {
        const before = await this.describeNow(query);
        if (before.requestId === undefined || isFinal(before.outcome)) {
            return before;
        }
        const lookup = this.lookupsById.get(query.requestId);
        if (lookup) {
            lookup.cancelled = true;
            return this.waitForOutcome(query);
        }
        const location = this.locate(query.requestId);
        const reply = location && await this.peerClient.call(
            location.address,
            PeerMethod.CancelRequest,
            { requestId: query.requestId },
            this.options.peerTimeoutMs
        );
        if (!reply?.isOk()) {
            const detail = "The owner of the request is not reached; it was not cancelled.";
            return { ...before, outcome: { ...before.outcome, reason: OutcomeReason.NoOwner, detail } };
        }
        return this.waitForOutcome(query);
    }

    private async handle(context: RequestContext): Promise<RequestReply> {
        const spec = context.spec!;
        if (spec.kind !== QueueKind.Lookup) {
            return this.jobHandler.accept(context);
        }
        return spec.idempotent ? this.serveLookup(context) : this.nonIdempotentLookups.serve(context);
    }

    private async serveLookup(context: RequestContext): Promise<RequestReply> {
        const spec = context.spec!;
        const requestId = this.lookupHandler.createRequestId();
        const cached: CachedLookup = {
            team: spec.team,
            queue: spec.queue,
            outcome: { state: OutcomeState.Running },
            cancelled: false
        };
        this.lookupsById.set(requestId, cached);
        cached.outcome = await this.lookupHandler.serve(requestId, spec, () => cached.cancelled);
        this.store.add(
            this.environment.timer.after(this.options.lookupMemoryMs, () => this.lookupsById.delete(requestId))
        );
        return { requestId, outcome: cached.outcome };
    }

    private async describeNow(query: RequestQuery): Promise<RequestReply> {
        const access = this.resolveAccess(query);
        return typeof access === "function" ? this.findRequest(query.requestId, access) : access;
    }

    private async findRequest(requestId: string, mayAccess: AccessCheck): Promise<RequestReply> {
        const lookup = this.lookupsById.get(requestId);
        if (lookup) {
            return mayAccess(lookup) ? { requestId, outcome: lookup.outcome } : requestUnknown();
        }
        return (await this.askOwner(requestId, mayAccess)) ?? this.readStore(requestId, mayAccess);
    }

    /** Returns which requests the key may see, or the refusal; without a key, only requests of open queues. */
    private resolveAccess(query: RequestQuery): AccessCheck | RequestReply {
        if (query.key === undefined) {
            return ({ queue }) => this.isOpenQueue(queue);
        }
        const team = this.keys.verify(query.key, 0);
        return team.isOk()
            ? request => request.team === team.value
            : outcomeUnknown(team.error, "The key cannot be used; nothing is told of the request.");
    }

    private isOpenQueue(queueName: string): boolean {
        return this.config.current?.parsed.queues.find(queue => queue.name === queueName)?.open ?? false;
    }

    private async askOwner(requestId: string, mayAccess: AccessCheck): Promise<RequestReply | undefined> {
        const location = this.locate(requestId);
        if (!location) {
            return undefined;
        }
        const reply = await this.peerClient.call<DescribeReply>(
            location.address,
            PeerMethod.DescribeRequest,
            { requestId, waitMs: 0 },
            this.options.peerTimeoutMs
        );
        const description = reply.isOk() ? reply.value.description : undefined;
        if (!description) {
            return undefined;
        }
        const { outcome, waiting } = description;
        return mayAccess(description) ? { requestId, outcome, waiting } : requestUnknown();
    }

    private async readStore(requestId: string, mayAccess: AccessCheck): Promise<RequestReply> {
        const stored = await this.requests.find(requestId);
        if (stored.isErr()) {
            const detail = "The store cannot be read; ask again later.";
            const reason = OutcomeReason.StoreUnavailable;
            return { requestId, outcome: { state: OutcomeState.Accepted, reason, detail } };
        }
        return stored.value && mayAccess(stored.value.record.spec)
            ? { requestId, outcome: stored.value.record.outcome }
            : requestUnknown();
    }

    private locate(requestId: string): ReturnType<SliceDirectory["locate"]> {
        const sliceId = sliceOfRequestId(requestId);
        return sliceId === undefined ? undefined : this.directory.locate(sliceId);
    }
}
