import { OutcomeState } from "@skylarkpath/common/model/Request";
import { HistoryEventKind } from "@skylarkpath/proof/history/HistoryEvent";
import { computePercentiles } from "../load/LoadSummary.js";
import type { DemoResult, PackingSample } from "./DemoRun.js";

interface TeamRow {
    sent: number;
    accepted: number;
    done: number;
    notRun: number;
    unknown: number;
    noReply: number;
    readonly waitingMs: number[];
}

const COLUMN_WIDTH = 10;
const NAME_WIDTH = 24;
const HEADER = ["team", "sent", "accepted", "done", "not-run", "unknown", "no reply", "wait p50", "wait p99"];

/** Renders a table by team with waiting times in milliseconds, and the utilization of the fleet. */
export function renderDemo(result: DemoResult): string {
    const rows = [...collectRows(result)].map(([team, row]) => {
        const { p50Ms, p99Ms } = computePercentiles(row.waitingMs);
        return [
            team,
            row.sent,
            row.accepted,
            row.done,
            row.notRun,
            row.unknown,
            row.noReply,
            p50Ms.toFixed(0),
            p99Ms.toFixed(0)
        ];
    });
    return `${[HEADER, ...rows].map(renderRow).join("\n")}\n${renderPacking(result.packing)}\n`;
}

function collectRows(result: DemoResult): ReadonlyMap<string, TeamRow> {
    const { history, teamBySubmissionId } = result;
    const rows = new Map<string, TeamRow>();
    const startTimesMs = collectStartTimes(result);
    const finalStates = new Map<string, OutcomeState>();
    const accepted = new Set<string>();
    const requestIds = new Map<string, string>();
    for (const reply of history.eventsOfKind(HistoryEventKind.ReplyReceived)) {
        finalStates.set(reply.submissionId, reply.outcome.state);
        if (reply.outcome.state === OutcomeState.Accepted || reply.outcome.state === OutcomeState.Running) {
            accepted.add(reply.submissionId);
        }
        if (reply.requestId !== undefined) {
            requestIds.set(reply.submissionId, reply.requestId);
        }
    }
    for (const { submission, atMs } of history.eventsOfKind(HistoryEventKind.Submitted)) {
        const { submissionId } = submission;
        const row = getOrCreateRow(rows, teamBySubmissionId.get(submissionId) ?? "");
        row.sent++;
        row.accepted += Number(accepted.has(submissionId));
        countState(row, finalStates.get(submissionId));
        const startedAtMs = startTimesMs.get(requestIds.get(submissionId) ?? "");
        if (startedAtMs !== undefined) {
            row.waitingMs.push(startedAtMs - atMs);
        }
    }
    return rows;
}

/** Finds the time of the first task or attempt event of each request. */
function collectStartTimes({ history }: DemoResult): ReadonlyMap<string, number> {
    const startTimesMs = new Map<string, number>();
    const startEvents = [
        ...history.eventsOfKind(HistoryEventKind.TaskChanged),
        ...history.eventsOfKind(HistoryEventKind.AttemptChanged)
    ];
    for (const event of startEvents) {
        const earliestMs = startTimesMs.get(event.requestId) ?? Infinity;
        startTimesMs.set(event.requestId, Math.min(earliestMs, event.atMs));
    }
    return startTimesMs;
}

function countState(row: TeamRow, state: OutcomeState | undefined): void {
    row.done += Number(state === OutcomeState.Done);
    row.notRun += Number(state === OutcomeState.NotRun);
    row.unknown += Number(state === OutcomeState.Unknown);
    row.noReply += Number(state === undefined);
}

function getOrCreateRow(rows: Map<string, TeamRow>, team: string): TeamRow {
    const row = rows.get(team)
        ?? { sent: 0, accepted: 0, done: 0, notRun: 0, unknown: 0, noReply: 0, waitingMs: [] };
    rows.set(team, row);
    return row;
}

function renderPacking(samples: readonly PackingSample[]): string {
    const fractions = samples.map(({ used, capacity }) =>
        Math.max(used.processorMillicores / capacity.processorMillicores, used.memoryBytes / capacity.memoryBytes)
    );
    const mean = fractions.reduce((total, fraction) => total + fraction, 0) / Math.max(1, fractions.length);
    return `packing of the fleet, scarcest resource: mean ${formatPercent(mean)}, highest ${
        formatPercent(Math.max(0, ...fractions))
    }`;
}

function formatPercent(fraction: number): string {
    return `${(100 * fraction).toFixed(1)}%`;
}

function renderRow(cells: readonly (string | number)[]): string {
    return cells.map((cell, column) =>
        column === 0 ? String(cell).padEnd(NAME_WIDTH) : String(cell).padStart(COLUMN_WIDTH)
    ).join("");
}
