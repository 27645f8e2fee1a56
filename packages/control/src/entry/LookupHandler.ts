import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import {
    composeRequestId,
    OutcomeReason,
    OutcomeState,
    type RequestOutcome,
    type RequestSpec
} from "@skylarkpath/common/model/Request";
import { type TargetAnswer, type TargetError, TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import { ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import { RetryBudget } from "@skylarkpath/decisions/lookups/RetryBudget";
import { err, ok, type Result } from "neverthrow";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { ForwardReply } from "../slice/LookupForwarder.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";
import { notRun, type RequestReply } from "./RequestReply.js";
import type { AcquiredSlot, SlotClient } from "./SlotClient.js";

/** Returns whether the caller has cancelled a look-up. */
export type CancellationCheck = () => boolean;

interface LookupProgress {
    /** Whether any attempt may have run. */
    mayHaveRun: boolean;
    /** Why the last attempt returned no answer. */
    reason: OutcomeReason;
}

const MAX_ATTEMPTS = 4;
const RETRY_AFTER_MS = 500;

const SHED_REASONS: Readonly<Record<ShedReason, OutcomeReason>> = {
    [ShedReason.DeadlinePassed]: OutcomeReason.DeadlinePassed,
    [ShedReason.Overloaded]: OutcomeReason.Overloaded,
    [ShedReason.NoTarget]: OutcomeReason.NoTarget,
    [ShedReason.LimitReached]: OutcomeReason.LimitReached
};

/** Serves idempotent look-ups through slice owners; also dispatches requests to targets and checks their answers. */
export class LookupHandler {
    private readonly retryBudget = new RetryBudget();

    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly directory: SliceDirectory,
        private readonly slotClient: SlotClient
    ) {}

    /** Serves a look-up until its deadline; one that may have run is retried only within the retry budget. */
    public async serve(requestId: string, spec: RequestSpec, isCancelled: CancellationCheck): Promise<RequestOutcome> {
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + spec.deadlineAtMs - timer.wallClockMs();
        const progress: LookupProgress = { mayHaveRun: false, reason: OutcomeReason.NoOwner };
        this.retryBudget.requestSent();
        for (let attempt = 0; attempt < MAX_ATTEMPTS && !isCancelled(); attempt++) {
            const remainingMs = deadlineMs - timer.nowMs();
            const location = this.sliceForAttempt(attempt);
            if (remainingMs <= 0 || !location) {
                break;
            }
            const { team, queue, payload } = spec;
            const reply = await this.slotClient.forward(location, { team, queue, payload, requestId, remainingMs });
            const outcome = this.applyReply(reply, progress);
            if (outcome) {
                return outcome;
            }
            const mayRetry = !progress.mayHaveRun || this.retryBudget.tryRetry(true, timer.nowMs(), deadlineMs, 0);
            if (!mayRetry) {
                break;
            }
        }
        const reason = isCancelled() ? OutcomeReason.Cancelled : progress.reason;
        return progress.mayHaveRun
            ? { state: OutcomeState.Unknown, reason }
            : notRun(reason, undefined, RETRY_AFTER_MS).outcome;
    }

    /** Creates the ID of a look-up with this process in place of a slice, since only this process keeps its outcome. */
    public createRequestId(): string {
        return composeRequestId(this.environment.identity.processId, this.environment.hasher.randomToken());
    }

    /** Sends a request to the target of a slot and releases the slot afterwards. */
    public async dispatch(
        requestId: string,
        spec: RequestSpec,
        slot: AcquiredSlot,
        timeoutMs: number
    ): Promise<Result<TargetAnswer, TargetError>> {
        const startMs = this.environment.timer.nowMs();
        this.environment.log.write(EVENTS.lookupDispatched, { requestId, target: slot.targetId });
        const result = await this.environment.targets.dispatch(slot.address, {
            attemptId: slot.lookupId,
            requestId,
            team: spec.team,
            queue: spec.queue,
            payload: spec.payload,
            timeoutMs
        });
        const checked = result.andThen(answer => this.checkAnswer(requestId, slot, answer));
        this.slotClient.release(slot, {
            latencyMs: this.environment.timer.nowMs() - startMs,
            succeeded: checked.isOk(),
            unfinished: checked.isErr() && checked.error.kind === TargetErrorKind.ReplyLost
        });
        return checked;
    }

    /** Accepts only the complete answer to this attempt. */
    private checkAnswer(
        requestId: string,
        slot: AcquiredSlot,
        answer: TargetAnswer
    ): Result<TargetAnswer, TargetError> {
        if (answer.attemptId === slot.lookupId && answer.answer.length === answer.answerLength) {
            return ok(answer);
        }
        this.environment.log.write(EVENTS.answerDropped, { requestId, target: slot.targetId });
        return err({
            kind: TargetErrorKind.ReplyLost,
            message: "The answer is incomplete or belongs elsewhere."
        });
    }

    /** Returns the final outcome, or records why there is none yet. */
    private applyReply(reply: ForwardReply, progress: LookupProgress): RequestOutcome | undefined {
        if ("answer" in reply) {
            return { state: OutcomeState.Done, answers: [reply.answer] };
        }
        if ("shed" in reply) {
            progress.reason = SHED_REASONS[reply.shed];
            return undefined;
        }
        const { kind, message } = reply.failure;
        if (kind === TargetErrorKind.Failed) {
            return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed, detail: message };
        }
        const isLost = kind === TargetErrorKind.ReplyLost;
        progress.mayHaveRun ||= isLost;
        progress.reason = isLost ? OutcomeReason.AnswerIncomplete : OutcomeReason.NoTarget;
        return undefined;
    }

    private sliceForAttempt(attempt: number): SliceLocation | undefined {
        const { failureDomain, region } = this.environment.identity;
        const locations = this.directory.reachable(failureDomain, region);
        return locations[attempt % Math.max(1, locations.length)];
    }
}

/** Composes the reply to a look-up. */
export function lookupReply(requestId: string, outcome: RequestOutcome): RequestReply {
    return { requestId, outcome };
}
