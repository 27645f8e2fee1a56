import { OutcomeReason, OutcomeState, type RequestOutcome } from "@skylarkpath/common/model/Request";
import { type AttemptReport, AttemptState, type TargetService } from "@skylarkpath/common/platform/TargetService";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";

/** Attempt whose reply was lost. */
export interface LostAttempt {
    readonly attemptId: string;
    /** Address of the target, or undefined when it is no longer known. */
    readonly address: () => string | undefined;
    /** Monotonic time at which polling ends, unless the target reports the attempt as still running. */
    readonly pollUntilMs: number;
}

const POLL_INTERVAL_MS = 200;

/** Polls a target for the outcome of an attempt whose reply was lost; never sends the attempt again. */
export async function resolveAttempt(
    targets: TargetService,
    timer: TimerService,
    attempt: LostAttempt
): Promise<RequestOutcome> {
    for (;;) {
        const address = attempt.address();
        const report = address === undefined ? undefined : await targets.attempt(address, attempt.attemptId);
        const outcome = report?.isOk() ? toOutcome(report.value) : undefined;
        if (outcome) {
            return outcome;
        }
        const isRunning = report?.isOk() && report.value.state === AttemptState.Running;
        if (!isRunning && timer.nowMs() >= attempt.pollUntilMs) {
            const detail = "The target did not say what became of the request.";
            return { state: OutcomeState.Unknown, reason: OutcomeReason.AnswerIncomplete, detail };
        }
        await sleep(timer, POLL_INTERVAL_MS);
    }
}

function toOutcome(report: AttemptReport): RequestOutcome | undefined {
    switch (report.state) {
        case AttemptState.Done:
            return report.answer === undefined ? undefined : { state: OutcomeState.Done, answers: [report.answer] };
        case AttemptState.Failed:
            return { state: OutcomeState.Done, reason: OutcomeReason.TargetFailed };
        case AttemptState.Running:
        case AttemptState.NeverSeen:
            return undefined;
    }
}
