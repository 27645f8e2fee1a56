import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { type HistoryEvent, HistoryEventKind } from "../history/HistoryEvent.js";
import { FaultFreeTime } from "./FaultFreeTime.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";

/** Time after which a leaving machine may get no new work. */
export const LEAVING_BOUND_MS = 5000;

/** A worker or target that is leaving gets no new work after a few seconds without faults. */
export class LeavingRule implements HistoryRule {
    public readonly name = "leaving";

    public check(history: History): readonly Violation[] {
        const faultFreeTime = new FaultFreeTime(history);
        const deadlines = new Map<string, number>();
        const violations: Violation[] = [];
        for (const event of history.events) {
            if (event.kind === HistoryEventKind.MachineLeaving) {
                deadlines.set(event.machineId, faultFreeTime.deadlineOf(event.atMs, LEAVING_BOUND_MS));
            }
            const machineId = machineOfStart(event);
            if (machineId !== undefined && event.atMs > (deadlines.get(machineId) ?? Infinity)) {
                const message = `${machineId} is leaving and got new work`;
                violations.push({ rule: this.name, atMs: event.atMs, message, subjects: [machineId] });
            }
        }
        return violations;
    }
}

function machineOfStart(event: HistoryEvent): string | undefined {
    if (event.kind === HistoryEventKind.TaskChanged && event.state === WorkerTaskState.Running) {
        return event.workerId;
    }
    if (event.kind === HistoryEventKind.AttemptChanged && event.state === AttemptState.Running) {
        return event.targetId;
    }
    return undefined;
}
