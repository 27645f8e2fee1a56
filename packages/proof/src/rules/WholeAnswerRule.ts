import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf, type Submission } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { requestsOf } from "./RequestView.js";

/** Answer of a simulated target to a payload. */
export function targetAnswerOf(payload: string): string {
    return `answer to ${payload}`;
}

/** Answer of a simulated task. */
export function taskAnswerOf(payload: string, taskId: string): string {
    return `${targetAnswerOf(payload)} by ${taskId}`;
}

/** Every answer that a caller gets is complete and belongs to its own request, and reported failures did happen. */
export class WholeAnswerRule implements HistoryRule {
    public readonly name = "whole-answer";

    public check(history: History): readonly Violation[] {
        const failedPayloads = failedPayloadsOf(history);
        const violations: Violation[] = [];
        for (const request of requestsOf(history)) {
            for (const { submitted, replies } of request.submissions) {
                for (const reply of replies) {
                    const error = findAnswerError(submitted.submission, reply, failedPayloads);
                    if (error) {
                        const message = `${reply.submissionId} was told ${error}`;
                        violations.push({ rule: this.name, atMs: reply.atMs, message, subjects: [request.payload] });
                    }
                }
            }
        }
        return violations;
    }
}

function findAnswerError(
    submission: Submission,
    reply: HistoryEventOf<HistoryEventKind.ReplyReceived>,
    failedPayloads: ReadonlySet<string>
): string | undefined {
    const { outcome } = reply;
    if (outcome.state !== OutcomeState.Done) {
        return undefined;
    }
    const reportsFailure = outcome.reason === OutcomeReason.TargetFailed
        || outcome.reason === OutcomeReason.NeverSucceeds;
    if (reportsFailure) {
        return failedPayloads.has(submission.payload) ? undefined : "of a failure that never happened";
    }
    const answers = outcome.answers ?? [];
    return isCompleteAnswer(submission, answers) ? undefined : `the answer ${JSON.stringify(answers)}`;
}

function isCompleteAnswer(submission: Submission, answers: readonly string[]): boolean {
    if (submission.taskCount === 0) {
        return answers.length === 1 && answers[0] === targetAnswerOf(submission.payload);
    }
    const prefix = taskAnswerOf(submission.payload, "");
    return answers.length === submission.taskCount
        && new Set(answers).size === answers.length
        && answers.every(answer => answer.startsWith(prefix));
}

function failedPayloadsOf(history: History): ReadonlySet<string> {
    const failed = new Set<string>();
    for (const event of history.events) {
        const isFailure = (event.kind === HistoryEventKind.TaskChanged && event.state === WorkerTaskState.Failed)
            || (event.kind === HistoryEventKind.AttemptChanged && event.state === AttemptState.Failed);
        if (isFailure) {
            failed.add(event.payload);
        }
    }
    return failed;
}
