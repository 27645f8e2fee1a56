import type { Decision } from "@skylarkpath/common/scheduling/TaskScheduler";
import { DecisionKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import { Fleet } from "../fleet/Fleet.js";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import { RunningTask } from "../groups/RunningTask.js";
import { unparkAll } from "../groups/ShapeQueue.js";
import { ShapeRegistry } from "../groups/ShapeRegistry.js";
import { TeamRegistry } from "../teams/TeamRegistry.js";
import type { Reservation } from "./Reservation.js";

const NO_WORKERS: readonly WorkerNode[] = [];

/** What the task scheduler of a slice knows: fleet, teams, groups and running tasks. */
export class SliceState {
    public readonly fleet = new Fleet();
    public readonly teams = new TeamRegistry();
    public readonly shapes = new ShapeRegistry(shape => this.teams.shapeChanged(shape));
    public readonly groups = new Map<string, GroupState>();
    public readonly running = new Map<string, RunningTask>();
    private freedCapacityVersion = 0;
    /** Reserved workers that gained room since the last backfill. */
    private freedReservedWorkers: WorkerNode[] = [];
    /** Decisions to hand out next. */
    private decisions: Decision[] = [];

    /** Rises whenever a worker gains room. */
    public get version(): number {
        return this.freedCapacityVersion;
    }

    /** Lets waiting work be tried on a worker that gained room. */
    public roomGained(worker: WorkerNode): void {
        this.freedCapacityVersion++;
        if (!worker.acceptsTasks) {
            return;
        }
        if (worker.reservation === undefined) {
            this.shapes.roomGained(worker);
        }
        else {
            this.freedReservedWorkers.push(worker);
        }
    }

    /** Keeps a worker for a reservation. */
    public reserve(worker: WorkerNode, reservation: Reservation): void {
        this.fleet.setReservation(worker, reservation);
        this.freedReservedWorkers.push(worker);
    }

    /** Opens a reserved worker to all again. */
    public unreserve(worker: WorkerNode): void {
        this.fleet.setReservation(worker, undefined);
        this.roomGained(worker);
    }

    /** Returns the reserved workers that gained room, without taking them. */
    public peekFreedReservedWorkers(): readonly WorkerNode[] {
        return this.freedReservedWorkers;
    }

    /** Returns the reserved workers that gained room since the last call. */
    public takeReservedGains(): readonly WorkerNode[] {
        if (this.freedReservedWorkers.length === 0) {
            return NO_WORKERS;
        }
        const workers = this.freedReservedWorkers;
        this.freedReservedWorkers = [];
        return workers;
    }

    /** Counts a task as running on a worker. */
    public count(taskId: string, group: GroupState, worker: WorkerNode, startedAtMs: number): RunningTask {
        const task = new RunningTask(taskId, group, worker, startedAtMs);
        task.duplicate = this.running.get(taskId);
        this.running.set(taskId, task);
        group.running.set(taskId, task);
        worker.running.add(task);
        group.spread?.add(worker);
        this.fleet.allocate(worker, group.shape.resources);
        this.teams.beginUsageChange(group.team);
        group.team.addUsage(group.shape.resources, this.fleet.capacity);
        this.teams.endUsageChange(group.team);
        return task;
    }

    /** Takes the next waiting task of a group and decides its start. */
    public startNext(group: GroupState, worker: WorkerNode, nowMs: number): void {
        const taskId = group.takeWaiting()!;
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
        for (let copy: RunningTask | undefined = task; copy !== undefined; copy = copy.duplicate) {
            this.releaseCopy(copy);
        }
        if (task.group.team.parkedQueues.length > 0) {
            unparkAll(task.group.team.parkedQueues);
        }
        this.forgetWhenDone(task.group);
    }

    /** Forgets a group that neither waits nor runs. */
    public forgetWhenDone(group: GroupState): void {
        if (group.isDone && this.groups.delete(group.group.groupId)) {
            this.teams.lineOf(group).remove(group);
            this.shapes.release(group.shape);
        }
    }

    /** Gives a group up with the reason; what runs stays counted until ended. */
    public reject(group: GroupState, reason: string): void {
        group.withdrawn = true;
        group.clearWaiting();
        this.teams.lineOf(group).remove(group);
        this.decisions.push({ kind: DecisionKind.Reject, groupId: group.group.groupId, reason });
        this.forgetWhenDone(group);
    }

    /** Adds a decision for the caller. */
    public addDecision(decision: Decision): void {
        this.decisions.push(decision);
    }

    /** Returns the decisions since the last call. */
    public takeDecisions(): readonly Decision[] {
        const taken = this.decisions;
        this.decisions = [];
        return taken;
    }

    private releaseCopy(copy: RunningTask): void {
        copy.worker.running.delete(copy);
        copy.group.spread?.remove(copy.worker);
        this.fleet.release(copy.worker, copy.group.shape.resources);
        this.teams.beginUsageChange(copy.group.team);
        copy.group.team.removeUsage(copy.group.shape.resources, this.fleet.capacity);
        this.teams.endUsageChange(copy.group.team);
        this.roomGained(copy.worker);
    }
}
