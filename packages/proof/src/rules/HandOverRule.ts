import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { type HistoryEvent, HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";

/** Time after a planned stop within which the leases of tasks expire if they are not renewed. */
const LEASE_WINDOW_MS = 15_000;

/** After a planned stop, in which an owner hands over its tasks, no lease of a running task expires. */
export class HandOverRule implements HistoryRule {
    public readonly name = "hand-over";

    /** Ignores leases that expire during a fault or within two lease windows after the end of a fault or a kill. */
    public check(history: History): readonly Violation[] {
        const violations: Violation[] = [];
        let lastStopMs = -Infinity;
        let lastFaultMs = -Infinity;
        let openFaultCount = 0;
        for (const event of history.events) {
            if (event.kind === HistoryEventKind.StopBegan) {
                lastStopMs = event.atMs;
            }
            openFaultCount += openFaultDelta(event);
            if (openFaultCount > 0 || isKillOrFaultEnd(event)) {
                lastFaultMs = event.atMs;
            }
            const isLapse = event.kind === HistoryEventKind.TaskChanged && event.state === WorkerTaskState.LeaseLapsed;
            const followsStop = event.atMs - lastStopMs <= LEASE_WINDOW_MS;
            if (isLapse && followsStop && event.atMs - lastFaultMs > 2 * LEASE_WINDOW_MS) {
                const message = `the lease of ${event.taskId} lapsed after a planned stop`;
                violations.push({ rule: this.name, atMs: event.atMs, message, subjects: [event.taskId] });
            }
        }
        return violations;
    }
}

function openFaultDelta(event: HistoryEvent): number {
    if (event.kind === HistoryEventKind.FaultBegan) {
        return 1;
    }
    return event.kind === HistoryEventKind.FaultEnded ? -1 : 0;
}

function isKillOrFaultEnd(event: HistoryEvent): boolean {
    return event.kind === HistoryEventKind.ProcessKilled || event.kind === HistoryEventKind.FaultEnded;
}
