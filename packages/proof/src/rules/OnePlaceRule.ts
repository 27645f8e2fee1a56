import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isRunningState } from "./TaskStates.js";

/** No task ever runs on two workers at once, according to the events of the workers. */
export class OnePlaceRule implements HistoryRule {
    public readonly name = "one-place";

    public check(history: History): readonly Violation[] {
        const workersByTask = new Map<string, Set<string>>();
        const violations: Violation[] = [];
        for (const event of history.eventsOfKind(HistoryEventKind.TaskChanged)) {
            const workerIds = workersByTask.get(event.taskId) ?? new Set<string>();
            workersByTask.set(event.taskId, workerIds);
            if (!isRunningState(event.state)) {
                workerIds.delete(event.workerId);
                continue;
            }
            workerIds.add(event.workerId);
            if (workerIds.size > 1) {
                const message = `${event.taskId} runs at ${[...workerIds].join(" and ")}`;
                violations.push({ rule: this.name, atMs: event.atMs, message, subjects: [event.taskId] });
            }
        }
        return violations;
    }
}
