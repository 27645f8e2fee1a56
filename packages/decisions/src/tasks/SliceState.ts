import type { Decision } from "@skylarkpath/common/scheduling/TaskScheduler";
import { DecisionKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import { Fleet } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import { RunningTask } from "../groups/RunningTask.js";
import { ShapeRegistry, unparkAll } from "../groups/ShapeRegistry.js";
import { TeamRegistry } from "../teams/TeamRegistry.js";

/** What the task scheduler of a slice knows: fleet, teams, groups and running tasks. */
export class SliceState {
    public readonly fleet = new Fleet();
    public readonly teams = new TeamRegistry();
    public readonly shapes = new ShapeRegistry();
    public readonly groups = new Map<string, GroupState>();
    public readonly running = new Map<string, RunningTask>();
    /** Decisions to hand out next. */
    private decisions: Decision[] = [];

    /** Counts a task as running on a worker. */
    public count(taskId: string, group: GroupState, worker: WorkerNode, startedAtMs: number): RunningTask {
        const task = new RunningTask(taskId, group, worker, startedAtMs);
        task.duplicate = this.running.get(taskId);
        this.running.set(taskId, task);
        group.running.set(taskId, task);
        worker.running.add(task);
        this.fleet.take(worker, group.shape.resources);
        group.team.take(group.shape.resources, this.fleet.capacity);
        this.teams.teamChanged(group.team);
        return task;
    }

    /** Takes a waiting task and decides its start. */
    public start(taskId: string, group: GroupState, worker: WorkerNode, nowMs: number): void {
        this.count(taskId, group, worker, nowMs);
        this.decisions.push({
            kind: DecisionKind.Start,
            taskId,
            groupId: group.group.groupId,
            workerId: worker.workerId
        });
    }

    /** Stops counting a task, wherever it was found. */
    public release(task: RunningTask): void {
        this.running.delete(task.taskId);
        task.group.running.delete(task.taskId);
        for (let part: RunningTask | undefined = task; part !== undefined; part = part.duplicate) {
            this.releasePart(part);
        }
        this.teams.teamChanged(task.group.team);
        unparkAll(task.group.team.parkedQueues);
        this.forgetWhenDone(task.group);
    }

    /** Forgets a group that neither waits nor runs. */
    public forgetWhenDone(group: GroupState): void {
        if (group.waitingCount === 0 && group.running.size === 0) {
            this.teams.lineOf(group).remove(group);
            this.groups.delete(group.group.groupId);
        }
    }

    /** Adds a decision for the caller. */
    public decide(decision: Decision): void {
        this.decisions.push(decision);
    }

    /** Returns the decisions since the last call. */
    public takeDecisions(): readonly Decision[] {
        const taken = this.decisions;
        this.decisions = [];
        return taken;
    }

    private releasePart(part: RunningTask): void {
        part.worker.running.delete(part);
        this.fleet.give(part.worker, part.group.shape.resources);
        part.group.team.give(part.group.shape.resources, this.fleet.capacity);
        if (part.worker.takesTasks) {
            this.shapes.roomGained(part.worker);
        }
    }
}
