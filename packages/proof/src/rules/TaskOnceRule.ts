import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { groupBy } from "./RequestView.js";

/** A task of a non-idempotent job is started at most once. */
export class TaskOnceRule implements HistoryRule {
    public readonly name = "task-at-most-once";

    public check(history: History): readonly Violation[] {
        const payloads = new Set(
            history.eventsOfKind(HistoryEventKind.Submitted)
                .filter(event => !event.submission.queueIdempotent)
                .map(event => event.submission.payload)
        );
        const starts = history.eventsOfKind(HistoryEventKind.TaskChanged).filter(event =>
            event.state === WorkerTaskState.Running && payloads.has(event.payload)
        );
        return [...groupBy(starts, event => event.taskId).values()]
            .filter(group => group.length > 1)
            .map(group => {
                const workerIds = group.map(event => event.workerId).join(" and ");
                const message = `${group[0]!.taskId} is not idempotent and ran at ${workerIds}`;
                return { rule: this.name, atMs: group[1]!.atMs, message, subjects: [group[0]!.payload] };
            });
    }
}
