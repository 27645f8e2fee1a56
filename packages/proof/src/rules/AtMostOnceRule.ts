import type { History } from "../history/History.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { groupBy, requestsOf, type RequestView } from "./RequestView.js";

/** A look-up that is not idempotent is run by a target at most once. */
export class AtMostOnceRule implements HistoryRule {
    public readonly name = "at-most-once";

    public check(history: History): readonly Violation[] {
        const lookups = requestsOf(history).filter(isNonIdempotentLookup);
        return [...groupBy(lookups, identityOf).values()].flatMap(group => this.checkStarts(group));
    }

    private checkStarts(group: readonly RequestView[]): readonly Violation[] {
        const starts = group.flatMap(request => request.starts);
        if (starts.length <= 1) {
            return [];
        }
        const subjects = group.map(request => request.payload);
        const machineIds = starts.map(start => start.machineId).join(" and ");
        const message = `${subjects.join(", ")} is not idempotent and ran at ${machineIds}`;
        return [{ rule: this.name, atMs: starts[1]!.atMs, message, subjects }];
    }
}

function isNonIdempotentLookup(request: RequestView): boolean {
    const { queueIdempotent, taskCount } = request.submissions[0]!.submitted.submission;
    return !queueIdempotent && taskCount === 0;
}

/** Submissions with the same idempotency key count as one request, even if their bodies differ. */
function identityOf(request: RequestView): string {
    const { idempotencyKey, submissionId } = request.submissions[0]!.submitted.submission;
    return idempotencyKey ?? submissionId;
}
