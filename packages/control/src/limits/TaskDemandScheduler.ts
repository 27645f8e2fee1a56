import { addResources, NO_RESOURCES, type Resources, scaleResources } from "@skylarkpath/common/model/Resources";
import type { TeamAllotment } from "@skylarkpath/common/model/Slice";
import {
    type Decision,
    DecisionKind,
    GroupKind,
    type TaskEnd,
    TaskEnd as End,
    type TaskGroup,
    type TaskScheduler,
    type TeamPolicy,
    type WaitExplanation,
    type WorkerView
} from "@skylarkpath/common/scheduling/TaskScheduler";

interface GroupDemand {
    readonly group: TaskGroup;
    readonly waiting: Set<string>;
    readonly running: Set<string>;
    readonly finished: Set<string>;
}

interface RunningTask {
    readonly groupId: string;
    readonly workerId: string;
    stopping: boolean;
}

/** Upper bounds of usage, by team. */
export type TeamCaps = ReadonlyMap<string, TeamAllotment>;

/** Wraps a task scheduler to track the demand of each team and to stop the newest tasks of a team above its cap. */
export class TaskDemandScheduler implements TaskScheduler {
    private readonly groups = new Map<string, GroupDemand>();
    /** Running tasks by id, oldest first. */
    private readonly runningTasks = new Map<string, RunningTask>();
    private readonly workerCapacities = new Map<string, Resources>();
    private policies: ReadonlyMap<string, TeamPolicy> = new Map();

    constructor(private readonly inner: TaskScheduler, private readonly enforcedCaps: () => TeamCaps) {}

    /** Total capacity of the slice's workers. */
    public get capacity(): Resources {
        return [...this.workerCapacities.values()].reduce(addResources, NO_RESOURCES);
    }

    /** Resources that the scheduler currently lets a team use. */
    public spendable(team: string): Resources {
        return this.policies.get(team)?.allotment.resources ?? NO_RESOURCES;
    }

    /** Resources needed by the waiting tasks of each team. */
    public waitingByTeam(): ReadonlyMap<string, Resources> {
        const waiting = new Map<string, Resources>();
        for (const { group, waiting: taskIds } of this.groups.values()) {
            const amount = scaleResources(group.resources, taskIds.size);
            waiting.set(group.team, addResources(waiting.get(group.team) ?? NO_RESOURCES, amount));
        }
        return waiting;
    }

    /**
     * Largest amount that a team must be allotted at once: what all waiting tasks of a gang need beside what the team
     * runs here, which may last; otherwise what one task needs.
     */
    public quantumOf(team: string): Resources {
        let largest = NO_RESOURCES;
        for (const { group, waiting } of this.groups.values()) {
            if (group.team === team && waiting.size > 0) {
                const needed = group.kind === GroupKind.Gang
                    ? addResources(this.inner.usage(team), scaleResources(group.resources, waiting.size))
                    : group.resources;
                largest = maxResources(largest, needed);
            }
        }
        return largest;
    }

    public setTeams(teams: ReadonlyMap<string, TeamPolicy>): void {
        this.policies = teams;
        this.inner.setTeams(teams);
    }

    public upsertWorker(worker: WorkerView): void {
        this.workerCapacities.set(worker.workerId, worker.capacity);
        this.inner.upsertWorker(worker);
    }

    public removeWorker(workerId: string): void {
        this.workerCapacities.delete(workerId);
        this.inner.removeWorker(workerId);
    }

    public submit(group: TaskGroup): void {
        const demand = this.groups.get(group.groupId) ?? {
            group,
            waiting: new Set(),
            running: new Set(),
            finished: new Set()
        };
        this.groups.set(group.groupId, demand);
        for (const taskId of group.taskIds) {
            if (!demand.running.has(taskId) && !demand.finished.has(taskId)) {
                demand.waiting.add(taskId);
            }
        }
        this.inner.submit(group);
    }

    public adopt(taskId: string, groupId: string, workerId: string, startedAtMs: number): void {
        this.recordStart(taskId, groupId, workerId);
        this.inner.adopt(taskId, groupId, workerId, startedAtMs);
    }

    public withdraw(groupId: string): readonly string[] {
        this.groups.get(groupId)?.waiting.clear();
        this.removeIfDone(groupId);
        return this.inner.withdraw(groupId);
    }

    public taskEnded(taskId: string, end: TaskEnd, nowMs: number): void {
        const task = this.runningTasks.get(taskId);
        const demand = task && this.groups.get(task.groupId);
        this.runningTasks.delete(taskId);
        demand?.running.delete(taskId);
        if (end === End.Requeued) {
            demand?.waiting.add(taskId);
        }
        else {
            demand?.finished.add(taskId);
        }
        if (task) {
            this.removeIfDone(task.groupId);
        }
        this.inner.taskEnded(taskId, end, nowMs);
    }

    public decide(nowMs: number): readonly Decision[] {
        const decisions = this.inner.decide(nowMs);
        for (const decision of decisions) {
            if (decision.kind === DecisionKind.Start) {
                this.recordStart(decision.taskId, decision.groupId, decision.workerId);
            }
            else if (decision.kind === DecisionKind.Reject) {
                this.groups.delete(decision.groupId);
            }
        }
        return [...decisions, ...this.enforceCaps()];
    }

    public explain(groupId: string, nowMs: number): WaitExplanation | undefined {
        return this.inner.explain(groupId, nowMs);
    }

    public usage(team: string): Resources {
        return this.inner.usage(team);
    }

    private recordStart(taskId: string, groupId: string, workerId: string): void {
        const demand = this.groups.get(groupId);
        demand?.waiting.delete(taskId);
        demand?.running.add(taskId);
        this.runningTasks.delete(taskId);
        this.runningTasks.set(taskId, { groupId, workerId, stopping: false });
    }

    private removeIfDone(groupId: string): void {
        const demand = this.groups.get(groupId);
        if (demand && demand.waiting.size === 0 && demand.running.size === 0) {
            this.groups.delete(groupId);
        }
    }

    private enforceCaps(): readonly Decision[] {
        return [...this.enforcedCaps()].flatMap(([team, cap]) => this.stopTasksAboveCap(team, cap.resources));
    }

    /** Stops the newest tasks until the remaining usage is within the cap; tasks already stopping count as ended. */
    private stopTasksAboveCap(team: string, cap: Resources): readonly Decision[] {
        const usage = this.inner.usage(team);
        if (!exceedsAny(usage, cap)) {
            return [];
        }
        const decisions: Decision[] = [];
        let remainingUsage = usage;
        for (const [taskId, task] of [...this.runningTasks].reverse()) {
            const group = this.groups.get(task.groupId)?.group;
            if (group?.team !== team || !exceedsAny(remainingUsage, cap)) {
                continue;
            }
            remainingUsage = addResources(remainingUsage, scaleResources(group.resources, -1));
            if (!task.stopping) {
                task.stopping = true;
                const { groupId, workerId } = task;
                decisions.push({ kind: DecisionKind.Stop, taskId, groupId, workerId });
            }
        }
        return decisions;
    }
}

function exceedsAny(usage: Resources, cap: Resources): boolean {
    return usage.processorMillicores > cap.processorMillicores
        || usage.memoryBytes > cap.memoryBytes
        || usage.accelerators > cap.accelerators;
}

function maxResources(left: Resources, right: Resources): Resources {
    return {
        processorMillicores: Math.max(left.processorMillicores, right.processorMillicores),
        memoryBytes: Math.max(left.memoryBytes, right.memoryBytes),
        accelerators: Math.max(left.accelerators, right.accelerators)
    };
}
