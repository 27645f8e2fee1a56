import type { History } from "../history/History.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { groupBy, requestsOf, type RequestView } from "./RequestView.js";

/** A request that is not idempotent is sent to a target at most once. */
export class AtMostOnceRule implements HistoryRule {
    public readonly name = "at-most-once";

    public check(history: History): readonly Violation[] {
        const orders = requestsOf(history).filter(isOrder);
        return [...groupBy(orders, orderNameOf).values()].flatMap(group => this.checkOrder(group));
    }

    private checkOrder(group: readonly RequestView[]): readonly Violation[] {
        const starts = group.flatMap(order => order.starts);
        if (starts.length <= 1) {
            return [];
        }
        const subjects = group.map(order => order.payload);
        const places = starts.map(start => start.place).join(" and ");
        const message = `${subjects.join(", ")} is not idempotent and ran at ${places}`;
        return [{ rule: this.name, atMs: starts[1]!.atMs, message, subjects }];
    }
}

function isOrder(request: RequestView): boolean {
    const { queueIdempotent, taskCount } = request.submissions[0]!.submitted.submission;
    return !queueIdempotent && taskCount === 0;
}

/** Submissions with the same idempotency key are one order, whatever their bodies. */
function orderNameOf(order: RequestView): string {
    const { idempotencyKey, submissionId } = order.submissions[0]!.submitted.submission;
    return idempotencyKey ?? submissionId;
}
