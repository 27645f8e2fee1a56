import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isAccepted, isConclusive, isDurable, requestsOf, type SubmissionView } from "./RequestView.js";

/** Accepted requests, except idempotent look-ups, get a final outcome once faults have ended and time has passed. */
export class EndsRule implements HistoryRule {
    public readonly name = "ends";

    public check(history: History): readonly Violation[] {
        const quiesced = history.eventsOfKind(HistoryEventKind.Quiesced).at(-1);
        if (!quiesced) {
            return [];
        }
        return requestsOf(history)
            .flatMap(request => request.submissions)
            .filter(isUnfinished)
            .map(view => {
                const { payload, submissionId } = view.submitted.submission;
                const waiting = view.replies.at(-1)?.waiting ?? "nothing that is known";
                const message = `${submissionId} never ended; it waits for ${waiting}`;
                return { rule: this.name, atMs: quiesced.atMs, message, subjects: [payload] };
            });
    }
}

function isUnfinished(view: SubmissionView): boolean {
    const lastReply = view.replies.at(-1);
    const isOpen = lastReply !== undefined && isAccepted(lastReply) && !view.replies.some(isConclusive);
    return isOpen && isDurable(view.submitted.submission);
}
