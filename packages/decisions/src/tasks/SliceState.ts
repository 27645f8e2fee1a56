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
    private roomVersion = 0;
    /** Reserved workers that gained room since the last backfill. */
    private reservedGains: WorkerNode[] = [];
    /** Decisions to hand out next. */
    private decisions: Decision[] = [];

    /** Rises whenever a worker gains room. */
    public get version(): number {
        return this.roomVersion;
    }

    /** Lets waiting work be tried on a worker that gained room. */
    public roomGained(worker: WorkerNode): void {
        this.roomVersion++;
        if (!worker.takesTasks) {
            return;
        }
        if (worker.reservation === undefined) {
            this.shapes.capacityGained(worker);
        }
        else {
            this.reservedGains.push(worker);
        }
    }

    /** Keeps a worker for a reservation. */
    public reserve(worker: WorkerNode, reservation: Reservation): void {
        this.fleet.setReservation(worker, reservation);
        this.reservedGains.push(worker);
    }

    /** Opens a reserved worker to all again. */
    public unreserve(worker: WorkerNode): void {
        this.fleet.setReservation(worker, undefined);
        this.roomGained(worker);
    }

    /** Returns the reserved workers that gained room, without taking them. */
    public peekReservedGains(): readonly WorkerNode[] {
        return this.reservedGains;
    }

    /** Returns the reserved workers that gained room since the last call. */
    public takeReservedGains(): readonly WorkerNode[] {
        if (this.reservedGains.length === 0) {
            return NO_WORKERS;
        }
        const gains = this.reservedGains;
        this.reservedGains = [];
        return gains;
    }

    /** Counts a task as running on a worker. */
    public count(taskId: string, group: GroupState, worker: WorkerNode, startedAtMs: number): RunningTask {
        const task = new RunningTask(taskId, group, worker, startedAtMs);
        task.duplicate = this.running.get(taskId);
        this.running.set(taskId, task);
        group.running.set(taskId, task);
        worker.running.add(task);
        group.spread?.add(worker);
        this.fleet.take(worker, group.shape.resources);
        this.teams.beginChange(group.team);
        group.team.take(group.shape.resources, this.fleet.capacity);
        this.teams.endChange(group.team);
        return task;
    }

    /** Takes the next waiting task of a group and decides its start. */
    public startNext(group: GroupState, worker: WorkerNode, nowMs: number): void {
        const taskId = group.takeWaiting()!;
        this.count(taskId, group, worker, nowMs);
        this.decisions.push({
            kind: DecisionKind.Start,
            taskId,
            groupId: group.definition.groupId,
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
        if (task.group.team.parkedQueues.length > 0) {
            unparkAll(task.group.team.parkedQueues);
        }
        this.forgetWhenDone(task.group);
    }

    /** Forgets a group that neither waits nor runs. */
    public forgetWhenDone(group: GroupState): void {
        if (group.isDone && this.groups.delete(group.definition.groupId)) {
            this.teams.lineOf(group).remove(group);
            this.shapes.release(group.shape);
        }
    }

    /** Gives a group up with the reason; what runs stays counted until ended. */
    public reject(group: GroupState, reason: string): void {
        group.withdrawn = true;
        group.clearWaiting();
        this.teams.lineOf(group).remove(group);
        this.decisions.push({ kind: DecisionKind.Reject, groupId: group.definition.groupId, reason });
        this.forgetWhenDone(group);
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
        part.group.spread?.remove(part.worker);
        this.fleet.give(part.worker, part.group.shape.resources);
        this.teams.beginChange(part.group.team);
        part.group.team.give(part.group.shape.resources, this.fleet.capacity);
        this.teams.endChange(part.group.team);
        this.roomGained(part.worker);
    }
}
