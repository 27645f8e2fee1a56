import type { FaultResult } from "./faults/FaultInjector.js";
import type { QueueSummary } from "./load/LoadSummary.js";
import type { RunResult } from "./RunCommand.js";

const COLUMN_WIDTH = 11;

/** Renders a result as a table by queue, followed by the faults and the totals. */
export function renderRun(result: RunResult): string {
    const { deployment, seed, seconds, arrivalsPerSecond, processes, standIns } = result;
    const lines = [
        `${deployment}: ${processes} processes, ${arrivalsPerSecond} arrivals/s for ${seconds} s, seed ${seed}`,
        renderRow([
            "queue",
            "sent",
            "accepted",
            "done",
            "not-run",
            "unknown",
            "no reply",
            "lost",
            "wrong",
            "p50 ms",
            "p99 ms",
            "max ms",
            "end p50",
            "end p99"
        ]),
        ...result.queues.map(renderQueue),
        ...result.queues.flatMap(renderReasons),
        ...result.faults.map(renderFault),
        `store: ${standIns.table.commits} commits, ${standIns.table.reads} reads, `
        + `${result.storeCommitsPerThousandAccepted.toFixed(1)} commits per 1,000 accepted`,
        `double runs ${standIns.doubleRuns}, double orders ${standIns.doubleOrders}, `
        + `over capacity ${standIns.overCapacity}, task starts ${standIns.taskStarts}`
    ];
    return `${lines.join("\n")}\n`;
}

function renderQueue(queue: QueueSummary): string {
    return renderRow([
        queue.queue,
        queue.sent,
        queue.accepted,
        queue.done,
        queue.notRun,
        queue.unknown,
        queue.noReply,
        queue.lost,
        queue.wrongAnswers,
        queue.reply.p50Ms.toFixed(1),
        queue.reply.p99Ms.toFixed(1),
        queue.reply.maxMs.toFixed(1),
        queue.final.p50Ms.toFixed(1),
        queue.final.p99Ms.toFixed(1)
    ]);
}

function renderReasons(queue: QueueSummary): readonly string[] {
    return Object.entries(queue.notRunReasons).map(([reason, count]) => `  ${queue.queue} not-run: ${reason} ${count}`);
}

function renderFault(fault: FaultResult): string {
    const takenOver = fault.takenOverMs === undefined ? "" : `, taken over after ${fault.takenOverMs.toFixed(0)} ms`;
    const exit = fault.exitCode === undefined ? "" : `, exit code ${fault.exitCode}`;
    return `${fault.kind} at ${fault.atMs} ms: ${fault.process ?? ""} ${fault.slice ?? ""}${takenOver}${exit}`;
}

function renderRow(cells: readonly (string | number)[]): string {
    return cells.map((cell, index) => index === 0 ? String(cell).padEnd(20) : String(cell).padStart(COLUMN_WIDTH)).join(
        ""
    );
}
