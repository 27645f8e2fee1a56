import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { groupBy, requestsOf, type RequestView } from "./RequestView.js";

/** A request that is not idempotent runs at most once, and so does each of its tasks. */
export class AtMostOnceRule implements HistoryRule {
    public readonly name = "at-most-once";

    public check(history: History): readonly Violation[] {
        const requests = requestsOf(history).filter(request =>
            request.submissions.some(view => !view.submitted.submission.queueIdempotent)
        );
        const orders = requests.filter(request => request.submissions[0]!.submitted.submission.taskCount === 0);
        const jobs = new Set(requests.filter(request => !orders.includes(request)).map(request => request.payload));
        return [...this.checkOrders(orders), ...this.checkTasks(history, jobs)];
    }

    private checkOrders(orders: readonly RequestView[]): readonly Violation[] {
        const byKey = groupBy(orders, order => {
            const { idempotencyKey, submissionId } = order.submissions[0]!.submitted.submission;
            return idempotencyKey ?? submissionId;
        });
        return [...byKey.values()].flatMap(group => {
            const starts = group.flatMap(order => order.starts);
            const places = starts.map(start => start.place).join(" and ");
            const payloads = group.map(order => order.payload);
            return starts.length > 1 ? [this.compose(starts[1]!.atMs, payloads.join(", "), places, payloads)] : [];
        });
    }

    private checkTasks(history: History, payloads: ReadonlySet<string>): readonly Violation[] {
        const starts = history.of(HistoryEventKind.TaskChanged).filter(event =>
            event.state === WorkerTaskState.Running && payloads.has(event.payload)
        );
        return [...groupBy(starts, event => event.taskId)].flatMap(([taskId, group]) => {
            const places = group.map(event => event.workerId).join(" and ");
            return group.length > 1 ? [this.compose(group[1]!.atMs, taskId, places, [group[0]!.payload])] : [];
        });
    }

    private compose(atMs: number, what: string, places: string, subjects: readonly string[]): Violation {
        return { rule: this.name, atMs, message: `${what} is not idempotent and ran at ${places}`, subjects };
    }
}
