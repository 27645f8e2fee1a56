import type { Resources } from "@skylarkpath/common/model/Resources";
import { parseClusterConfig } from "@skylarkpath/text/ClusterConfigParser";
import type { History } from "../history/History.js";
import { type ConfiguredTeamLimit, HistoryEventKind } from "../history/HistoryEvent.js";
import type { FaultFreeTime } from "./FaultFreeTime.js";

interface VersionLimits {
    readonly limits: ReadonlyMap<string, ConfiguredTeamLimit>;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Text and time of the first event that shows a version as accepted or adopted. */
interface FirstObservation {
    readonly text: string;
    readonly atMs: number;
}

/** Time within which an accepted configuration must be in force at every process. */
export const CONFIG_IN_FORCE_BOUND_MS = 6000;

/** Upper limits of the teams over time; those of a version apply until the next version must be in force everywhere. */
export class LimitTimeline {
    private readonly versions: readonly VersionLimits[];

    constructor(history: History, faultFreeTime: FaultFreeTime) {
        const firstByVersion = firstObservations(history);
        const versionNumbers = [...firstByVersion.keys()].sort((left, right) => left - right);
        this.versions = versionNumbers.map((version, index) => {
            const next = firstByVersion.get(versionNumbers[index + 1] ?? Infinity);
            const { atMs, text } = firstByVersion.get(version)!;
            return {
                limits: limitsOf(text),
                fromMs: atMs,
                untilMs: next ? faultFreeTime.deadlineOf(next.atMs, CONFIG_IN_FORCE_BOUND_MS) : Infinity
            };
        });
    }

    /** Maximum, for each resource, of the limits of a team that apply at a time; zero when the team has none. */
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

    /** Times at which the limits of a version cease to apply. */
    public get expiryTimesMs(): readonly number[] {
        return this.versions.map(version => version.untilMs).filter(untilMs => untilMs !== Infinity);
    }
}

function firstObservations(history: History): ReadonlyMap<number, FirstObservation> {
    const firstByVersion = new Map<number, FirstObservation>();
    for (const event of history.events) {
        const hasVersion = event.kind === HistoryEventKind.ConfigApplied
            || event.kind === HistoryEventKind.ConfigAdopted;
        if (hasVersion && !firstByVersion.has(event.version)) {
            firstByVersion.set(event.version, { text: event.text, atMs: event.atMs });
        }
    }
    return firstByVersion;
}

function limitsOf(text: string): ReadonlyMap<string, ConfiguredTeamLimit> {
    const parsed = parseClusterConfig(text);
    const teams = parsed.isOk() ? parsed.value.teams : [];
    return new Map(teams.map(({ name, limit }) => [name, { team: name, ...limit }]));
}
