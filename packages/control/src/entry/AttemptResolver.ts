import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { type AttemptReport, AttemptState } from "@skylarkpath/common/platform/TargetService";
import { sleep } from "@skylarkpath/common/time/TimerService";
import type { ProcessEnvironment } from "../process/ProcessEnvironment.js";

const ASK_INTERVAL_MS = 200;
const ASK_LIMIT_MS = 5000;

/** Asks a target what became of an attempt whose answer was lost; never sends it again. */
export async function resolveAttempt(
    environment: Pick<ProcessEnvironment, "targets" | "timer">,
    address: string,
    attemptId: string
): Promise<RequestOutcome> {
    const endMs = environment.timer.nowMs() + ASK_LIMIT_MS;
    while (environment.timer.nowMs() < endMs) {
        const report = await environment.targets.attempt(address, attemptId);
        const outcome = report.isOk() ? outcomeOf(report.value) : undefined;
        if (outcome) {
            return outcome;
        }
        await sleep(environment.timer, ASK_INTERVAL_MS);
    }
    const detail = "The target did not say what became of the request.";
    return { state: OutcomeState.Unknown, reason: OutcomeReason.AnswerIncomplete, detail };
}

function outcomeOf(report: AttemptReport): RequestOutcome | undefined {
    switch (report.state) {
        case AttemptState.Done:
            return { state: OutcomeState.Done, answers: [report.answer ?? ""] };
        case AttemptState.Failed:
            return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed };
        case AttemptState.Running:
        case AttemptState.NeverSeen:
            return undefined;
    }
}
