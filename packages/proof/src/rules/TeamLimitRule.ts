import { addResources, fitsInto, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import type { History } from "../history/History.js";
import { type HistoryEvent, HistoryEventKind, type HistoryEventOf } from "../history/HistoryEvent.js";
import { FaultFreeTime } from "./FaultFreeTime.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { LimitTimeline } from "./LimitTimeline.js";
import { isRunningState } from "./TaskStates.js";

/** Resources and slots that the running work of one team uses. */
class TeamUsage {
    private readonly tasks = new Map<string, Resources>();
    private readonly attempts = new Set<string>();

    public get slots(): number {
        return this.attempts.size;
    }

    public get resources(): Resources {
        return [...this.tasks.values()].reduce(addResources, NO_RESOURCES);
    }

    public applyTaskEvent(event: HistoryEventOf<HistoryEventKind.TaskChanged>): void {
        const taskKey = `${event.workerId}/${event.taskId}`;
        if (isRunningState(event.state)) {
            this.tasks.set(taskKey, event.resources);
        }
        else {
            this.tasks.delete(taskKey);
        }
    }

    public applyAttemptEvent(event: HistoryEventOf<HistoryEventKind.AttemptChanged>): void {
        if (event.state === AttemptState.Running) {
            this.attempts.add(event.attemptId);
        }
        else {
            this.attempts.delete(event.attemptId);
        }
    }
}

/** The running work of a team, over all workers and targets, never exceeds its upper limit. */
export class TeamLimitRule implements HistoryRule {
    public readonly name = "team-limit";

    public check(history: History): readonly Violation[] {
        const limits = new LimitTimeline(history, new FaultFreeTime(history));
        const usageByTeam = new Map<string, TeamUsage>();
        const violations: Violation[] = [];
        const expiryTimesMs = [...limits.expiryTimesMs].sort((left, right) => left - right);
        for (const event of history.events) {
            while (expiryTimesMs.length > 0 && expiryTimesMs[0]! <= event.atMs) {
                const atMs = expiryTimesMs.shift()!;
                usageByTeam.forEach((usage, team) => violations.push(...this.checkTeam(team, usage, limits, atMs)));
            }
            const changedTeam = applyEvent(usageByTeam, event);
            if (changedTeam) {
                violations.push(...this.checkTeam(changedTeam, usageByTeam.get(changedTeam)!, limits, event.atMs));
            }
        }
        return violations;
    }

    private checkTeam(team: string, usage: TeamUsage, limits: LimitTimeline, atMs: number): readonly Violation[] {
        const limit = limits.limitAt(team, atMs);
        if (fitsInto(usage.resources, limit.resources) && usage.slots <= limit.slots) {
            return [];
        }
        const running = `${usage.resources.processorMillicores} millicores and ${usage.slots} slots`;
        const allowed = `${limit.resources.processorMillicores} millicores and ${limit.slots} slots`;
        const message = `team ${team} runs ${running}, allowed are ${allowed}`;
        return [{ rule: this.name, atMs, message, subjects: [`team ${team}`] }];
    }
}

/** Updates the usage of a team from an event; returns the team, or undefined for an event of another kind. */
function applyEvent(usageByTeam: Map<string, TeamUsage>, event: HistoryEvent): string | undefined {
    if (event.kind !== HistoryEventKind.TaskChanged && event.kind !== HistoryEventKind.AttemptChanged) {
        return undefined;
    }
    const usage = usageByTeam.get(event.team) ?? new TeamUsage();
    usageByTeam.set(event.team, usage);
    if (event.kind === HistoryEventKind.TaskChanged) {
        usage.applyTaskEvent(event);
    }
    else {
        usage.applyAttemptEvent(event);
    }
    return event.team;
}
