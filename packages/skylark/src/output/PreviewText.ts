import type { PreviewReply } from "../client/PreviewSchema.js";
import { renderTable } from "./Table.js";

type StepReply = PreviewReply["steps"][number];

/** Renders the preview of a placement as text. */
export function renderPreview(preview: PreviewReply): string {
    const { queue, team, priority, objectiveMs, expectedDurationMs, waitingSteps, steps } = preview;
    const table = renderTable(
        ["step", "tasks", "fit now", "wait for", "ahead", "team limit", "run ms", "policy"],
        steps.map(step => [
            step.step,
            step.tasks,
            step.fitsNow,
            describeWait(step),
            step.stepsAhead ?? "",
            step.tasksWithinTeamLimit,
            step.expectedDurationMs,
            step.needsPermits
        ])
    );
    const workers = renderTable(
        ["step", "workers", "verdict", "for example"],
        steps.flatMap(({ step, workers: verdicts }) =>
            verdicts.map(each => [step, each.workers, each.verdict, each.examples.join(" ")])
        )
    );
    return [
        `queue ${queue}, team ${team === "" ? "(none)" : team}, priority ${priority}, ${waitingSteps} steps wait now`,
        `objective ${objectiveMs} ms, expected duration ${expectedDurationMs} ms`,
        table,
        workers
    ].join("\n\n");
}

function describeWait({ after, waitReason, stepsAhead }: StepReply): string {
    return stepsAhead === undefined && after.length > 0 ? `steps ${after.join(" ")}` : waitReason ?? "";
}
