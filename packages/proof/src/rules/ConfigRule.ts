import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf } from "../history/HistoryEvent.js";
import { FaultFreeTime } from "./FaultFreeTime.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { CONFIG_IN_FORCE_BOUND_MS } from "./LimitTimeline.js";

/** One incarnation of a process, from its start to its kill or the beginning of its planned stop. */
interface ProcessRun {
    readonly processId: string;
    readonly incarnation: string;
    readonly fromMs: number;
    readonly untilMs: number;
    readonly adopted: readonly HistoryEventOf<HistoryEventKind.ConfigAdopted>[];
}

/** An accepted configuration is in force at every process within seconds, and no process reverts to an earlier one. */
export class ConfigRule implements HistoryRule {
    public readonly name = "config-in-force";

    public check(history: History): readonly Violation[] {
        const runs = processRunsOf(history);
        return [
            ...runs.flatMap(run => this.findReverts(run)),
            ...this.findTextConflicts(history),
            ...this.findLateAdoptions(history, runs)
        ];
    }

    private findReverts(run: ProcessRun): readonly Violation[] {
        return run.adopted
            .filter((event, index) => event.version <= (run.adopted[index - 1]?.version ?? 0))
            .map(event => this.composeViolation(event.atMs, `${run.processId} went back to version ${event.version}`));
    }

    /** Finds versions that were accepted twice, and processes whose text of a version differs from the accepted one. */
    private findTextConflicts(history: History): readonly Violation[] {
        const accepted = new Map<number, string>();
        const violations: Violation[] = [];
        for (const event of history.eventsOfKind(HistoryEventKind.ConfigApplied)) {
            if (accepted.has(event.version)) {
                violations.push(this.composeViolation(event.atMs, `version ${event.version} was accepted twice`));
            }
            accepted.set(event.version, event.text);
        }
        for (const event of history.eventsOfKind(HistoryEventKind.ConfigAdopted)) {
            if ((accepted.get(event.version) ?? event.text) !== event.text) {
                const message = `${event.processId} has another text under version ${event.version}`;
                violations.push(this.composeViolation(event.atMs, message));
            }
        }
        return violations;
    }

    private findLateAdoptions(history: History, runs: readonly ProcessRun[]): readonly Violation[] {
        const faultFreeTime = new FaultFreeTime(history);
        const violations: Violation[] = [];
        for (const applied of history.eventsOfKind(HistoryEventKind.ConfigApplied)) {
            for (const run of runs) {
                const deadlineMs = faultFreeTime.deadlineOf(
                    Math.max(applied.atMs, run.fromMs),
                    CONFIG_IN_FORCE_BOUND_MS
                );
                const isInForce = run.adopted.some(event =>
                    event.version >= applied.version && event.atMs <= deadlineMs
                );
                if (!isInForce && run.untilMs > deadlineMs) {
                    const message = `version ${applied.version} is not in force at ${run.processId}`;
                    violations.push(this.composeViolation(deadlineMs, message));
                }
            }
        }
        return violations;
    }

    private composeViolation(atMs: number, message: string): Violation {
        return { rule: this.name, atMs, message, subjects: ["version"] };
    }
}

function processRunsOf(history: History): readonly ProcessRun[] {
    const endMs = history.events.at(-1)?.atMs ?? 0;
    return history.eventsOfKind(HistoryEventKind.ProcessStarted).map(({ processId, incarnation, atMs }) => {
        const end = history.events.find(event => endsRun(event, incarnation));
        const adopted = history.eventsOfKind(HistoryEventKind.ConfigAdopted).filter(event =>
            event.incarnation === incarnation
        );
        return { processId, incarnation, fromMs: atMs, untilMs: end?.atMs ?? endMs, adopted };
    });
}

function endsRun(event: History["events"][number], incarnation: string): boolean {
    const isEnd = event.kind === HistoryEventKind.ProcessKilled || event.kind === HistoryEventKind.StopBegan;
    return isEnd && event.incarnation === incarnation;
}
