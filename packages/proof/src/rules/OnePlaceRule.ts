import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isRunningTask } from "./TaskStates.js";

/** No task ever runs in two places at once, judged at the workers. */
export class OnePlaceRule implements HistoryRule {
    public readonly name = "one-place";

    public check(history: History): readonly Violation[] {
        const placesByTask = new Map<string, Set<string>>();
        const violations: Violation[] = [];
        for (const event of history.of(HistoryEventKind.TaskChanged)) {
            const places = placesByTask.get(event.taskId) ?? new Set<string>();
            placesByTask.set(event.taskId, places);
            if (!isRunningTask(event.state)) {
                places.delete(event.workerId);
                continue;
            }
            places.add(event.workerId);
            if (places.size > 1) {
                const message = `${event.taskId} runs at ${[...places].join(" and ")}`;
                violations.push({ rule: this.name, atMs: event.atMs, message, subjects: [event.taskId] });
            }
        }
        return violations;
    }
}
