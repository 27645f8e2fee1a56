import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { History } from "../history/History.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { requestsOf, type RequestView, type SubmissionView } from "./RequestView.js";

/** A request of which a caller was told "not run" did not run and never does. */
export class NotRunRule implements HistoryRule {
    public readonly name = "not-run";

    public check(history: History): readonly Violation[] {
        return requestsOf(history).flatMap(request => this.checkRequest(request));
    }

    private checkRequest(request: RequestView): readonly Violation[] {
        const refused = request.submissions.filter(view => refusalOf(view) !== undefined);
        const othersCount = request.submissions.length - refused.length;
        const ranIds = new Set(request.starts.map(start => start.requestId));
        const refusedIds = refused.map(view => refusalOf(view)!.requestId);
        const ranRefused = refusedIds.some(requestId => requestId !== undefined && ranIds.has(requestId));
        const ranUnclaimed = refused.length > 0 && ranIds.size > othersCount;
        if (!ranRefused && !ranUnclaimed) {
            return [];
        }
        const told = refusalOf(refused[0]!)!;
        const message = `${told.submissionId} was told "not run" (${told.outcome.reason}), but ran at `
            + request.starts.map(start => start.place).join(" and ");
        return [{ rule: this.name, atMs: told.atMs, message, subjects: [request.payload] }];
    }
}

function refusalOf(view: SubmissionView): SubmissionView["told"][number] | undefined {
    return view.told.find(event => event.outcome.state === OutcomeState.NotRun);
}
