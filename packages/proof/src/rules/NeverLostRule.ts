import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isAccepted, isConclusive, isDurable, requestsOf, type SubmissionView } from "./RequestView.js";

type Reply = HistoryEventOf<HistoryEventKind.ReplyReceived>;

/** No accepted request is forgotten, no final outcome changes, and submissions get a reply unless the entry ends. */
export class NeverLostRule implements HistoryRule {
    public readonly name = "never-lost";

    public check(history: History): readonly Violation[] {
        const quiescedMs = history.eventsOfKind(HistoryEventKind.Quiesced).at(-1)?.atMs;
        return requestsOf(history)
            .flatMap(request => request.submissions)
            .flatMap(view => this.checkSubmission(view, quiescedMs));
    }

    private checkSubmission(view: SubmissionView, quiescedMs: number | undefined): readonly Violation[] {
        const message = findContradiction(view)
            ?? findForgotten(view)
            ?? (quiescedMs === undefined ? undefined : findUnanswered(view));
        if (message === undefined) {
            return [];
        }
        const { payload, submissionId } = view.submitted.submission;
        const atMs = view.replies.at(-1)?.atMs ?? quiescedMs ?? view.submitted.atMs;
        return [{ rule: this.name, atMs, message: `${submissionId} ${message}`, subjects: [payload] }];
    }
}

function findContradiction(view: SubmissionView): string | undefined {
    const conclusive = view.replies.filter(event =>
        isConclusive(event) && event.outcome.state !== OutcomeState.Unknown
    );
    const first = conclusive[0];
    const contradicting = conclusive.find(event => !hasSameOutcome(first!, event));
    return contradicting && `was told ${describeOutcome(first!)} and then ${describeOutcome(contradicting)}`;
}

function findForgotten(view: SubmissionView): string | undefined {
    const mustBeKnown = isDurable(view.submitted.submission);
    const firstAcceptedIndex = view.replies.findIndex(event => event.requestId !== undefined && isAccepted(event));
    const unknownReply = view.replies.slice(firstAcceptedIndex + 1).find(event =>
        event.outcome.reason === OutcomeReason.RequestUnknown
    );
    return mustBeKnown && firstAcceptedIndex >= 0 && unknownReply
        ? "was accepted and is not known any more"
        : undefined;
}

function findUnanswered(view: SubmissionView): string | undefined {
    return view.replies.length === 0 && view.cutOffs.length === 0 ? "was never told anything" : undefined;
}

function hasSameOutcome(left: Reply, right: Reply): boolean {
    const sameAnswers = JSON.stringify(left.outcome.answers) === JSON.stringify(right.outcome.answers);
    return left.outcome.state === right.outcome.state && sameAnswers;
}

function describeOutcome(event: Reply): string {
    const { answers, reason, state } = event.outcome;
    return [state, reason, answers?.join("; ")].filter(part => part !== undefined).join(" ");
}
