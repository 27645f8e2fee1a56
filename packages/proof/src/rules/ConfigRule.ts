import type { History } from "../history/History.js";
import { HistoryEventKind, type HistoryEventOf } from "../history/HistoryEvent.js";
import { CalmTime } from "./CalmTime.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { IN_FORCE_BOUND_MS } from "./LimitTimeline.js";

interface Life {
    readonly processId: string;
    readonly incarnation: string;
    readonly fromMs: number;
    readonly untilMs: number;
    readonly adopted: readonly HistoryEventOf<HistoryEventKind.ConfigAdopted>[];
}

/** An accepted text is in force at every process within seconds and never reverts. */
export class ConfigRule implements HistoryRule {
    public readonly name = "config-in-force";

    public check(history: History): readonly Violation[] {
        const lives = livesOf(history);
        return [
            ...lives.flatMap(life => this.findReverts(life)),
            ...this.findLostTexts(history),
            ...this.findLate(history, lives)
        ];
    }

    private findReverts(life: Life): readonly Violation[] {
        return life.adopted
            .filter((event, place) => event.version <= (life.adopted[place - 1]?.version ?? 0))
            .map(event => this.compose(event.atMs, `${life.processId} went back to version ${event.version}`));
    }

    /** The text of an accepted version is what every process has under that version. */
    private findLostTexts(history: History): readonly Violation[] {
        const accepted = new Map<number, string>();
        const violations: Violation[] = [];
        for (const event of history.of(HistoryEventKind.ConfigApplied)) {
            if (accepted.has(event.version)) {
                violations.push(this.compose(event.atMs, `version ${event.version} was accepted twice`));
            }
            accepted.set(event.version, event.text);
        }
        for (const event of history.of(HistoryEventKind.ConfigAdopted)) {
            if ((accepted.get(event.version) ?? event.text) !== event.text) {
                const message = `${event.processId} has another text under version ${event.version}`;
                violations.push(this.compose(event.atMs, message));
            }
        }
        return violations;
    }

    private findLate(history: History, lives: readonly Life[]): readonly Violation[] {
        const calm = new CalmTime(history);
        const violations: Violation[] = [];
        for (const applied of history.of(HistoryEventKind.ConfigApplied)) {
            for (const life of lives) {
                const deadlineMs = calm.deadlineOf(Math.max(applied.atMs, life.fromMs), IN_FORCE_BOUND_MS);
                const isInForce = life.adopted.some(event =>
                    event.version >= applied.version && event.atMs <= deadlineMs
                );
                if (!isInForce && life.untilMs > deadlineMs) {
                    const message = `version ${applied.version} is not in force at ${life.processId}`;
                    violations.push(this.compose(deadlineMs, message));
                }
            }
        }
        return violations;
    }

    private compose(atMs: number, message: string): Violation {
        return { rule: this.name, atMs, message, subjects: ["version"] };
    }
}

function livesOf(history: History): readonly Life[] {
    const endMs = history.events.at(-1)?.atMs ?? 0;
    return history.of(HistoryEventKind.ProcessStarted).map(({ processId, incarnation, atMs }) => {
        const end = history.events.find(event => endsLife(event, incarnation));
        const adopted = history.of(HistoryEventKind.ConfigAdopted).filter(event => event.incarnation === incarnation);
        return { processId, incarnation, fromMs: atMs, untilMs: end?.atMs ?? endMs, adopted };
    });
}

function endsLife(event: History["events"][number], incarnation: string): boolean {
    const isEnd = event.kind === HistoryEventKind.ProcessKilled || event.kind === HistoryEventKind.StopBegan;
    return isEnd && event.incarnation === incarnation;
}
