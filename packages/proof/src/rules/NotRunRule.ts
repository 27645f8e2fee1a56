import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { History } from "../history/History.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { requestsOf, type RequestView, type SubmissionView } from "./RequestView.js";

/** A request that was reported to its caller as "not run" never runs, neither before nor after the reply. */
export class NotRunRule implements HistoryRule {
    public readonly name = "not-run";

    public check(history: History): readonly Violation[] {
        return requestsOf(history).flatMap(request => this.checkRequest(request));
    }

    private checkRequest(request: RequestView): readonly Violation[] {
        const refused = request.submissions.filter(view => notRunReplyOf(view) !== undefined);
        const otherCount = request.submissions.length - refused.length;
        const startedIds = new Set(request.starts.map(start => start.requestId));
        const refusedIds = refused.map(view => notRunReplyOf(view)!.requestId);
        const startedRefused = refusedIds.some(requestId => requestId !== undefined && startedIds.has(requestId));
        const startedTooMany = refused.length > 0 && startedIds.size > otherCount;
        if (!startedRefused && !startedTooMany) {
            return [];
        }
        const reply = notRunReplyOf(refused[0]!)!;
        const message = `${reply.submissionId} was told "not run" (${reply.outcome.reason}), but ran at `
            + request.starts.map(start => start.machineId).join(" and ");
        return [{ rule: this.name, atMs: reply.atMs, message, subjects: [request.payload] }];
    }
}

function notRunReplyOf(view: SubmissionView): SubmissionView["replies"][number] | undefined {
    return view.replies.find(event => event.outcome.state === OutcomeState.NotRun);
}
