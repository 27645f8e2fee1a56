import { QueueKind } from "@skylarkpath/common/model/OperatorsText";
import { OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf, type Submission } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isVerdict, requestsOf, type SubmissionView } from "./RequestView.js";

type Told = HistoryEventOf<HistoryEventKind.Told>;

/** Every accepted request ends, once faults have ended, with one outcome that never changes. */
export class NeverLostRule implements HistoryRule {
    public readonly name = "never-lost";

    public check(history: History): readonly Violation[] {
        const quiescedMs = history.of(HistoryEventKind.Quiesced).at(-1)?.atMs;
        return requestsOf(history)
            .flatMap(request => request.submissions)
            .flatMap(view => this.checkSubmission(view, quiescedMs));
    }

    private checkSubmission(view: SubmissionView, quiescedMs: number | undefined): readonly Violation[] {
        const message = findContradiction(view)
            ?? findForgotten(view)
            ?? (quiescedMs === undefined ? undefined : findUnfinished(view));
        if (message === undefined) {
            return [];
        }
        const { payload, submissionId } = view.submitted.submission;
        const atMs = view.told.at(-1)?.atMs ?? quiescedMs ?? view.submitted.atMs;
        return [{ rule: this.name, atMs, message: `${submissionId} ${message}`, subjects: [payload] }];
    }
}

function findContradiction(view: SubmissionView): string | undefined {
    const verdicts = view.told.filter(event => isVerdict(event) && event.outcome.state !== OutcomeState.Unknown);
    const first = verdicts[0];
    const other = verdicts.find(event => !saysTheSame(first!, event));
    return other && `was told ${textOf(first!)} and then ${textOf(other)}`;
}

function findForgotten(view: SubmissionView): string | undefined {
    const isKept = isDurable(view.submitted.submission);
    const wasTaken = view.told.findIndex(event => event.requestId !== undefined && isTaken(event));
    const forgotten = view.told.slice(wasTaken + 1).find(event =>
        event.outcome.reason === OutcomeReason.RequestUnknown
    );
    return isKept && wasTaken >= 0 && forgotten ? "was accepted and is not known any more" : undefined;
}

function findUnfinished(view: SubmissionView): string | undefined {
    const last = view.told.at(-1);
    if (!last) {
        return view.cutOff.length > 0 ? undefined : "was never told anything";
    }
    const isOpen = !view.told.some(isVerdict) && isTaken(last) && isDurable(view.submitted.submission);
    return isOpen ? `never ended; it was told ${textOf(last)} last` : undefined;
}

function isDurable(submission: Submission): boolean {
    return submission.queueKind !== QueueKind.Lookup || !submission.queueIdempotent;
}

function isTaken(event: Told): boolean {
    const { state } = event.outcome;
    return state === OutcomeState.Accepted || state === OutcomeState.Running || state === OutcomeState.Done;
}

function saysTheSame(left: Told, right: Told): boolean {
    const sameAnswers = JSON.stringify(left.outcome.answers) === JSON.stringify(right.outcome.answers);
    return left.outcome.state === right.outcome.state && sameAnswers;
}

function textOf(event: Told): string {
    const { answers, reason, state } = event.outcome;
    return [state, reason, answers?.join("; ")].filter(part => part !== undefined).join(" ");
}
