import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { isFinal, OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf, type Submission } from "../history/HistoryEvent.js";

/** Start of a task on a worker or of an attempt at a target. */
export interface WorkStart {
    readonly requestId: string;
    readonly machineId: string;
    readonly atMs: number;
}

/** Submission with the replies to its caller, in order, and the calls that ended without one. */
export interface SubmissionView {
    readonly submitted: HistoryEventOf<HistoryEventKind.Submitted>;
    readonly replies: readonly HistoryEventOf<HistoryEventKind.ReplyReceived>[];
    readonly cutOffs: readonly HistoryEventOf<HistoryEventKind.CallerCutOff>[];
}

/** All submissions with the same payload, which identifies a request, and all starts of work for it. */
export interface RequestView {
    readonly payload: string;
    readonly submissions: readonly SubmissionView[];
    readonly starts: readonly WorkStart[];
}

/** Groups the submissions, replies and starts of a history by request. */
export function requestsOf(history: History): readonly RequestView[] {
    const startsByPayload = collectStarts(history);
    const repliesById = groupBy(history.eventsOfKind(HistoryEventKind.ReplyReceived), event => event.submissionId);
    const cutOffsById = groupBy(history.eventsOfKind(HistoryEventKind.CallerCutOff), event => event.submissionId);
    const submissions = history.eventsOfKind(HistoryEventKind.Submitted).map(submitted => ({
        submitted,
        replies: repliesById.get(submitted.submission.submissionId) ?? [],
        cutOffs: cutOffsById.get(submitted.submission.submissionId) ?? []
    }));
    const viewsByPayload = groupBy(submissions, view => view.submitted.submission.payload);
    return [...viewsByPayload].map(([payload, views]) => ({
        payload,
        submissions: views,
        starts: startsByPayload.get(payload) ?? []
    }));
}

/** Returns whether a reply is final; unknown outcomes that a later query may resolve are not. */
export function isConclusive(event: HistoryEventOf<HistoryEventKind.ReplyReceived>): boolean {
    const { outcome } = event;
    const mayStillBeResolved = outcome.state === OutcomeState.Unknown
        && (outcome.reason === OutcomeReason.StoreUnavailable || outcome.reason === OutcomeReason.RequestUnknown);
    return isFinal(outcome) && !mayStillBeResolved;
}

/** Returns whether a request must survive the end of processes that serve it; only idempotent look-ups need not. */
export function isDurable(submission: Submission): boolean {
    return submission.queueKind !== QueueKind.Lookup || !submission.queueIdempotent;
}

/** Returns whether a reply shows that the request was accepted. */
export function isAccepted(event: HistoryEventOf<HistoryEventKind.ReplyReceived>): boolean {
    const { state } = event.outcome;
    return state === OutcomeState.Accepted || state === OutcomeState.Running || state === OutcomeState.Done;
}

function collectStarts(history: History): ReadonlyMap<string, readonly WorkStart[]> {
    const starts: (WorkStart & { readonly payload: string; })[] = [];
    for (const event of history.events) {
        if (event.kind === HistoryEventKind.TaskChanged && event.state === WorkerTaskState.Running) {
            starts.push({ ...event, machineId: event.workerId });
        }
        else if (event.kind === HistoryEventKind.AttemptChanged && event.state === AttemptState.Running) {
            starts.push({ ...event, machineId: event.targetId });
        }
    }
    return groupBy(starts, start => start.payload);
}

/** Groups items by a key, keeping their order. */
export function groupBy<T>(items: readonly T[], keyOf: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) {
        const group = groups.get(keyOf(item)) ?? [];
        groups.set(keyOf(item), group);
        group.push(item);
    }
    return groups;
}
