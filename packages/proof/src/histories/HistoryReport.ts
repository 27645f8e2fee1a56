import type { History } from "../history/History.js";
import { type HistoryEvent, HistoryEventKind } from "../history/HistoryEvent.js";
import type { Violation } from "../rules/HistoryRule.js";

const MAX_TRACE_EVENTS = 60;
/** Kinds of events that are related to every violation. */
const ALWAYS_SHOWN_KINDS = new Set([
    HistoryEventKind.ProcessKilled,
    HistoryEventKind.ProcessStarted,
    HistoryEventKind.StopBegan,
    HistoryEventKind.StopEnded,
    HistoryEventKind.FaultBegan,
    HistoryEventKind.FaultEnded,
    HistoryEventKind.Healed,
    HistoryEventKind.Quiesced
]);

/**
 * Describes a violation with the last related events up to its time: those that mention one of its subjects, and all
 * faults and all starts and ends of processes.
 */
export function describeViolation(history: History, violation: Violation): string {
    const related = history.events.filter(event =>
        event.atMs <= violation.atMs && isRelated(event, history, violation)
    );
    const lines = related.filter((event, index) => !repeatsReply(event, related[index - 1]))
        .slice(-MAX_TRACE_EVENTS)
        .map(describeEvent);
    return [summarizeViolation(violation), ...lines].join("\n");
}

/** Describes a violation in one line. */
export function summarizeViolation(violation: Violation): string {
    return `${violation.rule} at ${violation.atMs.toFixed(0)} ms: ${violation.message}`;
}

function isRelated(event: HistoryEvent, history: History, violation: Violation): boolean {
    if (ALWAYS_SHOWN_KINDS.has(event.kind)) {
        return true;
    }
    const text = describeEvent(event);
    return violation.subjects.some(subject => text.includes(subject))
        || concernsSubjectRequest(event, history, violation);
}

/** Returns whether a reply repeats the preceding event: a reply to the same submission with the same state. */
function repeatsReply(event: HistoryEvent, previous: HistoryEvent | undefined): boolean {
    return event.kind === HistoryEventKind.ReplyReceived
        && previous?.kind === HistoryEventKind.ReplyReceived
        && event.outcome.state === previous.outcome.state
        && event.submissionId === previous.submissionId;
}

function concernsSubjectRequest(event: HistoryEvent, history: History, violation: Violation): boolean {
    if (!("submissionId" in event)) {
        return false;
    }
    const submitted = history.eventsOfKind(HistoryEventKind.Submitted).find(candidate =>
        candidate.submission.submissionId === event.submissionId
    );
    return submitted !== undefined && violation.subjects.includes(submitted.submission.payload);
}

function describeEvent(event: HistoryEvent): string {
    const { atMs, kind, ...fields } = event;
    const details = "text" in fields ? { ...fields, text: undefined } : fields;
    const teamText = "team" in event ? ` team ${event.team}` : "";
    return `    ${atMs.toFixed(0)} ms ${kind}${teamText} ${JSON.stringify(details)}`;
}
