import { QueueKind } from "@skylarkpath/common/model/ClusterConfig";
import { isFinal, OutcomeReason, OutcomeState } from "@skylarkpath/common/model/Request";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import { WorkerTaskState } from "@skylarkpath/common/platform/WorkerService";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf, type Submission } from "../history/HistoryEvent.js";

/** A start of work at a worker or target. */
export interface WorkStart {
    readonly requestId: string;
    readonly place: string;
    readonly atMs: number;
}

/** Submission with what its caller was told, in order. */
export interface SubmissionView {
    readonly submitted: HistoryEventOf<HistoryEventKind.Submitted>;
    readonly told: readonly HistoryEventOf<HistoryEventKind.Told>[];
    readonly cutOff: readonly HistoryEventOf<HistoryEventKind.CallerCutOff>[];
}

/** All submissions that carry the same payload, which names one request, and the work done for it. */
export interface RequestView {
    readonly payload: string;
    readonly submissions: readonly SubmissionView[];
    readonly starts: readonly WorkStart[];
}

/** Groups a history by request. */
export function requestsOf(history: History): readonly RequestView[] {
    const startsByPayload = collectStarts(history);
    const told = groupBy(history.of(HistoryEventKind.Told), event => event.submissionId);
    const cutOff = groupBy(history.of(HistoryEventKind.CallerCutOff), event => event.submissionId);
    const submissions = history.of(HistoryEventKind.Submitted).map(submitted => ({
        submitted,
        told: told.get(submitted.submission.submissionId) ?? [],
        cutOff: cutOff.get(submitted.submission.submissionId) ?? []
    }));
    const byPayload = groupBy(submissions, view => view.submitted.submission.payload);
    return [...byPayload].map(([payload, views]) => ({
        payload,
        submissions: views,
        starts: startsByPayload.get(payload) ?? []
    }));
}

/** Tells whether an outcome says for good what became of the request. */
export function isVerdict(event: HistoryEventOf<HistoryEventKind.Told>): boolean {
    const { outcome } = event;
    const isOpen = outcome.state === OutcomeState.Unknown
        && (outcome.reason === OutcomeReason.StoreUnavailable || outcome.reason === OutcomeReason.RequestUnknown);
    return isFinal(outcome) && !isOpen;
}

/** Tells whether a request must outlive the processes that serve it. */
export function isDurable(submission: Submission): boolean {
    return submission.queueKind !== QueueKind.Lookup || !submission.queueIdempotent;
}

/** Tells whether an outcome says that the request was accepted. */
export function isTaken(event: HistoryEventOf<HistoryEventKind.Told>): boolean {
    const { state } = event.outcome;
    return state === OutcomeState.Accepted || state === OutcomeState.Running || state === OutcomeState.Done;
}

function collectStarts(history: History): ReadonlyMap<string, readonly WorkStart[]> {
    const starts: (WorkStart & { readonly payload: string; })[] = [];
    for (const event of history.events) {
        if (event.kind === HistoryEventKind.TaskChanged && event.state === WorkerTaskState.Running) {
            starts.push({ ...event, place: event.workerId });
        }
        else if (event.kind === HistoryEventKind.AttemptChanged && event.state === AttemptState.Running) {
            starts.push({ ...event, place: event.targetId });
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
