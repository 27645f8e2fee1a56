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
import { err, ok, type Result } from "neverthrow";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { SliceDirectory, SliceLocation } from "../slice/SliceDirectory.js";
import { notRun, type RequestReply } from "./RequestReply.js";
import type { AcquiredSlot, SlotClient } from "./SlotClient.js";

/** Tells whether the caller has cancelled a look-up. */
export type CancellationCheck = () => boolean;

const MAX_ATTEMPTS = 4;
const RETRY_HINT_MS = 500;

const SHED_REASONS: Readonly<Record<ShedReason, OutcomeReason>> = {
    [ShedReason.DeadlinePassed]: OutcomeReason.DeadlinePassed,
    [ShedReason.Overloaded]: OutcomeReason.Overloaded,
    [ShedReason.NoTarget]: OutcomeReason.NoTarget,
    [ShedReason.LimitReached]: OutcomeReason.LimitReached
};

/** Serves idempotent look-ups: finds a slot, sends the request and matches its answer. */
export class LookupHandler {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly directory: SliceDirectory,
        private readonly slots: SlotClient
    ) {}

    /** Serves a look-up until its deadline. */
    public async serve(requestId: string, spec: RequestSpec, isCancelled: CancellationCheck): Promise<RequestOutcome> {
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + spec.deadlineAtMs - timer.wallClockMs();
        let dispatched = false;
        let lastReason = OutcomeReason.NoOwner;
        for (let attempt = 0; attempt < MAX_ATTEMPTS && !isCancelled(); attempt++) {
            const remainingMs = deadlineMs - timer.nowMs();
            const location = this.chooseSlice(attempt);
            if (remainingMs <= 0 || !location) {
                break;
            }
            const reply = await this.slots.acquire(location, { team: spec.team, queue: spec.queue, remainingMs });
            if ("shed" in reply) {
                lastReason = SHED_REASONS[reply.shed];
                continue;
            }
            if (isCancelled()) {
                this.slots.release(reply.slot, { latencyMs: 0, succeeded: false, unfinished: false });
                break;
            }
            const answer = await this.dispatch(requestId, spec, reply.slot, deadlineMs - timer.nowMs());
            if (answer.isOk()) {
                return { state: OutcomeState.Done, answers: [answer.value.answer] };
            }
            if (answer.error.kind === TargetErrorKind.Failed) {
                return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed, detail: answer.error.message };
            }
            dispatched ||= answer.error.kind === TargetErrorKind.ReplyLost;
            lastReason = answer.error.kind === TargetErrorKind.ReplyLost
                ? OutcomeReason.AnswerIncomplete
                : OutcomeReason.NoTarget;
        }
        const reason = isCancelled() ? OutcomeReason.Cancelled : lastReason;
        return dispatched
            ? { state: OutcomeState.Unknown, reason }
            : notRun(reason, undefined, RETRY_HINT_MS).outcome;
    }

    /** Composes the id of a look-up: its slice is the process, which alone remembers it. */
    public composeId(): string {
        return composeRequestId(this.environment.identity.processId, this.environment.hasher.randomToken());
    }

    /** Sends a request to a target; gives the slot back when it ends. */
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
        this.slots.release(slot, {
            latencyMs: this.environment.timer.nowMs() - startMs,
            succeeded: checked.isOk(),
            unfinished: checked.isErr() && checked.error.kind === TargetErrorKind.ReplyLost
        });
        return checked;
    }

    /** Takes only the whole answer of this attempt. */
    private checkAnswer(
        requestId: string,
        slot: AcquiredSlot,
        answer: TargetAnswer
    ): Result<TargetAnswer, TargetError> {
        if (answer.attemptId === slot.lookupId && answer.answer.length === answer.answerLength) {
            return ok(answer);
        }
        this.environment.log.write(EVENTS.answerDropped, { requestId, target: slot.targetId });
        return err({ kind: TargetErrorKind.ReplyLost, message: "The answer is incomplete or belongs elsewhere." });
    }

    private chooseSlice(attempt: number): SliceLocation | undefined {
        const { failureDomain, region } = this.environment.identity;
        const locations = this.directory.reachable(failureDomain, region);
        return locations[attempt % Math.max(1, locations.length)];
    }
}

/** Composes the reply to a look-up. */
export function lookupReply(requestId: string, outcome: RequestOutcome): RequestReply {
    return { requestId, outcome };
}
