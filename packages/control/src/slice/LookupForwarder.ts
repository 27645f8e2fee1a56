import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import { type TargetAnswer, type TargetError, TargetErrorKind } from "@skylarkpath/common/platform/TargetService";
import type { ShedReason } from "@skylarkpath/common/scheduling/LookupScheduler";
import { err, ok, type Result } from "neverthrow";
import type { ForwardMessage } from "../peer/PeerMessages.js";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";
import type { GrantCheck, LookupController } from "./LookupController.js";

/** Result of a look-up that an owner was asked to send. */
export type ForwardReply =
    | { readonly shed: ShedReason; }
    | { readonly answer: string; }
    | { readonly failure: TargetError; };

const UNSENT: TargetError = { kind: TargetErrorKind.Unreachable, message: "The look-up was not sent." };

/**
 * Sends look-ups to targets on behalf of entry processes. The owner sends them itself so that a slot is free as soon as
 * its answer arrives.
 */
export class LookupForwarder {
    constructor(
        private readonly environment: ProcessEnvironment,
        private readonly lookups: LookupController,
        private readonly mayCommand: GrantCheck
    ) {}

    /**
     * Waits for a slot and sends the look-up; returns the complete answer of this attempt or the reason why there is
     * none.
     */
    public async forward(message: ForwardMessage): Promise<ForwardReply> {
        const { timer } = this.environment;
        const deadlineMs = timer.nowMs() + message.remainingMs;
        const grant = await this.lookups.acquire(message);
        if ("shed" in grant) {
            return grant;
        }
        const startMs = timer.nowMs();
        if (!this.mayCommand() || startMs >= deadlineMs) {
            this.release(message.lookupId, 0, err(UNSENT));
            return { failure: UNSENT };
        }
        const result = await this.send(message, grant.address, deadlineMs - startMs);
        this.release(message.lookupId, timer.nowMs() - startMs, result);
        return result.match<ForwardReply>(({ answer }) => ({ answer }), failure => ({ failure }));
    }

    private async send(
        message: ForwardMessage,
        address: string,
        timeoutMs: number
    ): Promise<Result<TargetAnswer, TargetError>> {
        const { lookupId, requestId, team, queue, payload } = message;
        this.environment.log.write(EVENTS.lookupDispatched, { requestId, target: address });
        const result = await this.environment.targets.dispatch(address, {
            attemptId: lookupId,
            requestId,
            team,
            queue,
            payload,
            timeoutMs
        });
        return result.andThen(answer => this.checkAnswer(message, answer));
    }

    private checkAnswer(message: ForwardMessage, answer: TargetAnswer): Result<TargetAnswer, TargetError> {
        if (answer.attemptId === message.lookupId && answer.answer.length === answer.answerLength) {
            return ok(answer);
        }
        this.environment.log.write(EVENTS.answerDropped, { requestId: message.requestId });
        return err({ kind: TargetErrorKind.ReplyLost, message: "The answer is incomplete or belongs elsewhere." });
    }

    private release(lookupId: string, latencyMs: number, result: Result<TargetAnswer, TargetError>): void {
        this.lookups.release({
            lookupId,
            latencyMs,
            succeeded: result.isOk(),
            unfinished: result.isErr() && result.error.kind === TargetErrorKind.ReplyLost
        });
    }
}
