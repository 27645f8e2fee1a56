import type { Resources } from "@skylarkpath/common/model/Resources";
import { addResources, fitsInto, NO_RESOURCES, subtractResources } from "@skylarkpath/common/model/Resources";
import {
    DecisionKind,
    GroupKind,
    TaskEnd,
    type TaskGroup,
    type TaskScheduler
} from "@skylarkpath/common/scheduling/TaskScheduler";

interface ModelTask {
    readonly group: TaskGroup;
    readonly workerId: string;
}

/** Reference model that applies a scheduler's decisions and records each violated invariant in `faults`. */
export class SchedulerModel {
    public readonly faults: string[] = [];
    public readonly running = new Map<string, ModelTask>();
    public readonly groups = new Map<string, TaskGroup>();
    public readonly rejected = new Map<string, string>();
    public readonly preemptions: { readonly kind: DecisionKind; readonly taskId: string; }[] = [];
    private readonly capacities = new Map<string, Resources>();
    private readonly allotments = new Map<string, Resources>();
    private readonly waiting = new Map<string, Set<string>>();

    constructor(private readonly scheduler: TaskScheduler) {}

    public setTeam(team: string, allotment: Resources): void {
        this.allotments.set(team, allotment);
        const policies = [...this.allotments].map(([name, resources]) =>
            [name, { share: 1, allotment: { resources, slots: 0 } }] as const
        );
        this.scheduler.setTeams(new Map(policies));
    }

    public setWorker(workerId: string, capacity: Resources, schedulable = true, rack = "rack"): void {
        this.capacities.set(workerId, schedulable ? capacity : NO_RESOURCES);
        this.scheduler.upsertWorker({ workerId, rack, capacity, schedulable });
    }

    public removeWorker(workerId: string): void {
        this.capacities.set(workerId, NO_RESOURCES);
        this.scheduler.removeWorker(workerId);
    }

    public submit(group: TaskGroup): void {
        this.groups.set(group.groupId, group);
        this.waiting.set(group.groupId, new Set(group.taskIds));
        this.scheduler.submit(group);
    }

    public withdraw(groupId: string): void {
        this.waiting.get(groupId)?.clear();
        this.scheduler.withdraw(groupId);
    }

    public end(taskId: string, end: TaskEnd, nowMs: number): void {
        const task = this.running.get(taskId);
        this.running.delete(taskId);
        if (task !== undefined && (end === TaskEnd.Requeued || end === TaskEnd.Failed)) {
            this.waiting.get(task.group.groupId)?.add(taskId);
        }
        this.scheduler.taskEnded(taskId, end, nowMs);
    }

    /** Calls the scheduler once, applies and checks its decisions, and returns the started tasks. */
    public decide(nowMs: number): readonly string[] {
        const started: string[] = [];
        for (const decision of this.scheduler.decide(nowMs)) {
            if (decision.kind === DecisionKind.Start) {
                this.start(decision.taskId, decision.groupId, decision.workerId);
                started.push(decision.taskId);
            }
            else if (decision.kind === DecisionKind.Reject) {
                this.rejected.set(decision.groupId, decision.reason);
                this.waiting.set(decision.groupId, new Set());
            }
            else {
                this.preemptions.push({ kind: decision.kind, taskId: decision.taskId });
            }
        }
        this.checkGangs(started);
        this.checkUsage();
        return started;
    }

    public usageOf(team: string): Resources {
        return this.sum(task => task.group.team === team);
    }

    public freeOn(workerId: string): Resources {
        const capacity = this.capacities.get(workerId) ?? NO_RESOURCES;
        return subtractResources(capacity, this.sum(task => task.workerId === workerId));
    }

    /** Checks that no waiting task fits both a worker and its team's allotment. */
    public checkNoWaitingTaskFits(): void {
        for (const [groupId, taskIds] of this.waiting) {
            const group = this.groups.get(groupId)!;
            const usage = addResources(this.usageOf(group.team), group.resources);
            if (taskIds.size === 0 || !fitsInto(usage, this.allotments.get(group.team) ?? NO_RESOURCES)) {
                continue;
            }
            for (const workerId of this.capacities.keys()) {
                if (fitsInto(group.resources, this.freeOn(workerId))) {
                    this.faults.push(`a task of ${groupId} waits although it fits on ${workerId}`);
                }
            }
        }
    }

    private start(taskId: string, groupId: string, workerId: string): void {
        const group = this.groups.get(groupId)!;
        if (this.running.has(taskId)) {
            this.faults.push(`${taskId} started twice`);
        }
        if (this.waiting.get(groupId)?.delete(taskId) !== true) {
            this.faults.push(`${taskId} started although it was not waiting`);
        }
        if (!fitsInto(group.resources, this.freeOn(workerId))) {
            this.faults.push(`${taskId} does not fit on ${workerId}`);
        }
        this.running.set(taskId, { group, workerId });
        if (!fitsInto(this.usageOf(group.team), this.allotments.get(group.team) ?? NO_RESOURCES)) {
            this.faults.push(`${taskId} exceeds the allotment of ${group.team}`);
        }
    }

    /** Checks that no gang of a started task still has waiting tasks. */
    private checkGangs(started: readonly string[]): void {
        for (const taskId of started) {
            const { group } = this.running.get(taskId)!;
            if (group.kind === GroupKind.Gang && this.waiting.get(group.groupId)!.size > 0) {
                this.faults.push(`gang ${group.groupId} started only some of its tasks`);
            }
        }
    }

    private checkUsage(): void {
        for (const team of this.allotments.keys()) {
            const expected = this.usageOf(team);
            const reported = this.scheduler.usage(team);
            if (!fitsInto(expected, reported) || !fitsInto(reported, expected)) {
                this.faults.push(`reported usage of ${team} is wrong`);
            }
        }
    }

    private sum(isCounted: (task: ModelTask) => boolean): Resources {
        let total = NO_RESOURCES;
        for (const task of this.running.values()) {
            total = isCounted(task) ? addResources(total, task.group.resources) : total;
        }
        return total;
    }
}
