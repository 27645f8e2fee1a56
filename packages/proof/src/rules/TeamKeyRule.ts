import { OutcomeState } from "@skylarkpath/common/model/Request";
import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf, type Submission } from "../history/HistoryEvent.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";

interface KeyValidity {
    readonly keyId: string;
    readonly team: string;
    withdrawnAtMs: number;
}

/** Time after which a withdrawn key must be rejected. */
export const WITHDRAWAL_BOUND_MS = 5000;

/** Requests are accepted only for the team of their key, and a withdrawn key is rejected after a few seconds. */
export class TeamKeyRule implements HistoryRule {
    public readonly name = "team-key";

    public check(history: History): readonly Violation[] {
        const keys = keysOf(history);
        const submissions = new Map<string, HistoryEventOf<HistoryEventKind.Submitted>>();
        const teamByPayload = new Map<string, string | undefined>();
        const violations: Violation[] = [];
        for (const event of history.events) {
            if (event.kind === HistoryEventKind.Submitted && !event.submission.queueOpen) {
                submissions.set(event.submission.submissionId, event);
                teamByPayload.set(event.submission.payload, keys.get(event.submission.key ?? "")?.team);
            }
            else if (event.kind === HistoryEventKind.ReplyReceived && mayBeAccepted(event)) {
                violations.push(...this.checkAccepted(submissions.get(event.submissionId), event, keys));
            }
            else if (event.kind === HistoryEventKind.TaskChanged || event.kind === HistoryEventKind.AttemptChanged) {
                const { atMs, payload, team } = event;
                if (teamByPayload.has(payload) && teamByPayload.get(payload) !== team) {
                    const message = `work of ${payload} runs for team ${team}`;
                    violations.push({ rule: this.name, atMs, message, subjects: [payload] });
                }
            }
        }
        return violations;
    }

    private checkAccepted(
        submitted: HistoryEventOf<HistoryEventKind.Submitted> | undefined,
        reply: HistoryEventOf<HistoryEventKind.ReplyReceived>,
        keys: ReadonlyMap<string, KeyValidity>
    ): readonly Violation[] {
        const key = keys.get(submitted?.submission.key ?? "");
        if (!submitted || (key && submitted.atMs <= key.withdrawnAtMs + WITHDRAWAL_BOUND_MS)) {
            return [];
        }
        return [{
            rule: this.name,
            atMs: reply.atMs,
            message: `${reply.submissionId} was taken ${describeKey(submitted, key)}`,
            subjects: subjectsOf(submitted.submission, key)
        }];
    }
}

function keysOf(history: History): ReadonlyMap<string, KeyValidity> {
    const keys = new Map<string, KeyValidity>();
    for (const { key, keyId, team } of history.eventsOfKind(HistoryEventKind.KeyGranted)) {
        keys.set(key, { keyId, team, withdrawnAtMs: Infinity });
    }
    for (const { keyId, atMs } of history.eventsOfKind(HistoryEventKind.KeyWithdrawn)) {
        for (const key of keys.values()) {
            if (key.keyId === keyId) {
                key.withdrawnAtMs = Math.min(key.withdrawnAtMs, atMs);
            }
        }
    }
    return keys;
}

function mayBeAccepted(event: HistoryEventOf<HistoryEventKind.ReplyReceived>): boolean {
    return event.requestId !== undefined && event.outcome.state !== OutcomeState.NotRun;
}

function describeKey(submitted: HistoryEventOf<HistoryEventKind.Submitted>, key: KeyValidity | undefined): string {
    return key
        ? `${submitted.atMs - key.withdrawnAtMs} ms after its key was withdrawn`
        : "without a key that was granted";
}

function subjectsOf(submission: Submission, key: KeyValidity | undefined): readonly string[] {
    return key ? [submission.submissionId, key.keyId] : [submission.submissionId];
}
