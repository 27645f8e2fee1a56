import type { History } from "../history/History.js";
import { HistoryEventKind } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";

/** A planned stop drops no call of a caller that is in progress. */
export class GracefulStopRule implements HistoryRule {
    public readonly name = "graceful-stop";

    public check(history: History): readonly Violation[] {
        return history.eventsOfKind(HistoryEventKind.CallerCutOff).filter(event => event.planned).map(event => ({
            rule: this.name,
            atMs: event.atMs,
            message: `${event.submissionId} was cut off by the planned stop of ${event.processId}`,
            subjects: [event.submissionId, event.processId]
        }));
    }
}
