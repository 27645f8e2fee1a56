import type { Resources } from "@skylarkpath/common/model/Resources";
import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import type { History } from "../history/History.js";
import { HistoryEventKind, type LimitInText } from "../history/HistoryEvent.js";
import type { CalmTime } from "./CalmTime.js";

interface LimitsOfVersion {
    readonly limits: ReadonlyMap<string, LimitInText>;
    readonly fromMs: number;
    readonly untilMs: number;
}

interface FirstSeen {
    readonly text: string;
    readonly atMs: number;
}

/** Time within which an accepted text is in force everywhere. */
export const IN_FORCE_BOUND_MS = 6000;

/** Upper limits of the teams over time; a limit counts until its successor is in force everywhere. */
export class LimitTimeline {
    private readonly versions: readonly LimitsOfVersion[];

    constructor(history: History, calm: CalmTime) {
        const seen = firstSeenVersions(history);
        const numbers = [...seen.keys()].sort((left, right) => left - right);
        this.versions = numbers.map((version, place) => {
            const successor = seen.get(numbers[place + 1] ?? Infinity);
            const { atMs, text } = seen.get(version)!;
            return {
                limits: limitsOf(text),
                fromMs: atMs,
                untilMs: successor ? calm.deadlineOf(successor.atMs, IN_FORCE_BOUND_MS) : Infinity
            };
        });
    }

    /** Highest limit of a team that counts at a time; nothing when the team has none. */
    public limitAt(team: string, atMs: number): { readonly resources: Resources; readonly slots: number; } {
        let processorMillicores = 0;
        let memoryBytes = 0;
        let accelerators = 0;
        let slots = 0;
        for (const { fromMs, limits, untilMs } of this.versions) {
            const limit = limits.get(team);
            if (limit && fromMs <= atMs && atMs < untilMs) {
                processorMillicores = Math.max(processorMillicores, limit.resources.processorMillicores);
                memoryBytes = Math.max(memoryBytes, limit.resources.memoryBytes);
                accelerators = Math.max(accelerators, limit.resources.accelerators);
                slots = Math.max(slots, limit.slots);
            }
        }
        return { resources: { processorMillicores, memoryBytes, accelerators }, slots };
    }

    /** Times at which limits cease to count. */
    public get changesMs(): readonly number[] {
        return this.versions.map(version => version.untilMs).filter(untilMs => untilMs !== Infinity);
    }
}

function firstSeenVersions(history: History): ReadonlyMap<number, FirstSeen> {
    const seen = new Map<number, FirstSeen>();
    for (const event of history.events) {
        const names = event.kind === HistoryEventKind.ConfigApplied || event.kind === HistoryEventKind.ConfigAdopted;
        if (names && !seen.has(event.version)) {
            seen.set(event.version, { text: event.text, atMs: event.atMs });
        }
    }
    return seen;
}

function limitsOf(text: string): ReadonlyMap<string, LimitInText> {
    const parsed = parseClusterConfig(text);
    const teams = parsed.isOk() ? parsed.value.teams : [];
    return new Map(teams.map(({ name, limit }) => [name, { team: name, ...limit }]));
}
