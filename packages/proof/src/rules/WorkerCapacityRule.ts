import { addResources, fitsInto, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { isRunningState } from "./TaskStates.js";

/** The resources of the running tasks on a worker never exceed its capacity. */
export class WorkerCapacityRule implements HistoryRule {
    public readonly name = "worker-capacity";

    public check(history: History): readonly Violation[] {
        const capacities = new Map<string, Resources>();
        const tasksByWorker = new Map<string, Map<string, Resources>>();
        const violations: Violation[] = [];
        for (const event of history.events) {
            if (event.kind === HistoryEventKind.WorkerDeclared) {
                capacities.set(event.workerId, event.capacity);
                tasksByWorker.set(event.workerId, new Map());
            }
            if (event.kind !== HistoryEventKind.TaskChanged) {
                continue;
            }
            const tasks = tasksByWorker.get(event.workerId)!;
            if (!isRunningState(event.state)) {
                tasks.delete(event.taskId);
                continue;
            }
            tasks.set(event.taskId, event.resources);
            const committed = [...tasks.values()].reduce(addResources, NO_RESOURCES);
            if (!fitsInto(committed, capacities.get(event.workerId)!)) {
                const message = `${event.workerId} has more committed than it holds with ${event.taskId}`;
                violations.push({ rule: this.name, atMs: event.atMs, message, subjects: [event.workerId] });
            }
        }
        return violations;
    }
}
