import { addResources, fitsInto, NO_RESOURCES, type Resources } from "@skylarkpath/common/model/Resources";
import { AttemptState } from "@skylarkpath/common/platform/TargetService";
import type { History } from "../history/History.js";
import { type HistoryEvent, HistoryEventKind, type HistoryEventOf } from "../history/HistoryEvent.js";
import { CalmTime } from "./CalmTime.js";
import type { HistoryRule, Violation } from "./HistoryRule.js";
import { LimitTimeline } from "./LimitTimeline.js";
import { isRunningTask } from "./TaskStates.js";

class TeamUse {
    private readonly tasks = new Map<string, Resources>();
    private readonly attempts = new Set<string>();

    public get slots(): number {
        return this.attempts.size;
    }

    public get resources(): Resources {
        return [...this.tasks.values()].reduce(addResources, NO_RESOURCES);
    }

    public takeTask(event: HistoryEventOf<HistoryEventKind.TaskChanged>): void {
        const place = `${event.workerId}/${event.taskId}`;
        if (isRunningTask(event.state)) {
            this.tasks.set(place, event.resources);
        }
        else {
            this.tasks.delete(place);
        }
    }

    public takeAttempt(event: HistoryEventOf<HistoryEventKind.AttemptChanged>): void {
        if (event.state === AttemptState.Running) {
            this.attempts.add(event.attemptId);
        }
        else {
            this.attempts.delete(event.attemptId);
        }
    }
}

/** No team ever has more running, over the whole fleet, than its upper limit. */
export class TeamLimitRule implements HistoryRule {
    public readonly name = "team-limit";

    public check(history: History): readonly Violation[] {
        const limits = new LimitTimeline(history, new CalmTime(history));
        const uses = new Map<string, TeamUse>();
        const violations: Violation[] = [];
        const changesMs = [...limits.changesMs].sort((left, right) => left - right);
        for (const event of history.events) {
            while (changesMs.length > 0 && changesMs[0]! <= event.atMs) {
                const atMs = changesMs.shift()!;
                uses.forEach((use, team) => violations.push(...this.judge(team, use, limits, atMs)));
            }
            const changed = takeIn(uses, event);
            if (changed) {
                violations.push(...this.judge(changed, uses.get(changed)!, limits, event.atMs));
            }
        }
        return violations;
    }

    private judge(team: string, use: TeamUse, limits: LimitTimeline, atMs: number): readonly Violation[] {
        const limit = limits.limitAt(team, atMs);
        if (fitsInto(use.resources, limit.resources) && use.slots <= limit.slots) {
            return [];
        }
        const running = `${use.resources.processorMillicores} millicores and ${use.slots} slots`;
        const allowed = `${limit.resources.processorMillicores} millicores and ${limit.slots} slots`;
        const message = `team ${team} runs ${running}, allowed are ${allowed}`;
        return [{ rule: this.name, atMs, message, subjects: [`team ${team}`] }];
    }
}

/** Takes in an event and returns the team whose use it raised or lowered. */
function takeIn(uses: Map<string, TeamUse>, event: HistoryEvent): string | undefined {
    if (event.kind !== HistoryEventKind.TaskChanged && event.kind !== HistoryEventKind.AttemptChanged) {
        return undefined;
    }
    const use = uses.get(event.team) ?? new TeamUse();
    uses.set(event.team, use);
    if (event.kind === HistoryEventKind.TaskChanged) {
        use.takeTask(event);
    }
    else {
        use.takeAttempt(event);
    }
    return event.team;
}
