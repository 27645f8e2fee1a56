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

/** State of the task scheduler of a slice: fleet, teams, groups, running tasks and pending decisions. */
export class SliceState {
    public readonly fleet = new Fleet();
    public readonly teams = new TeamRegistry();
    public readonly shapes = new ShapeRegistry(shape => this.teams.shapeChanged(shape));
    public readonly groups = new Map<string, GroupState>();
    public readonly running = new Map<string, RunningTask>();
    private freedCapacityVersion = 0;
    /** Workers that were reserved, or reserved ones on which capacity was freed, since the last backfill. */
    private freedReservedWorkers: WorkerNode[] = [];
    /** Decisions that the caller has not taken yet. */
    private decisions: Decision[] = [];

    /** Increases whenever capacity is freed on a worker. */
    public get version(): number {
        return this.freedCapacityVersion;
    }

    /** Makes waiting tasks eligible for a worker on which capacity was freed. */
    public capacityGained(worker: WorkerNode): void {
        this.freedCapacityVersion++;
        if (!worker.acceptsTasks) {
            return;
        }
        if (worker.reservation === undefined) {
            this.shapes.capacityGained(worker);
        }
        else {
            this.freedReservedWorkers.push(worker);
        }
    }

    /** Assigns a worker to a reservation. */
    public reserve(worker: WorkerNode, reservation: Reservation): void {
        this.fleet.setReservation(worker, reservation);
        this.freedReservedWorkers.push(worker);
    }

    /** Removes the reservation of a worker. */
    public unreserve(worker: WorkerNode): void {
        this.fleet.setReservation(worker, undefined);
        this.capacityGained(worker);
    }

    /** Returns the reserved workers to examine without clearing the list. */
    public peekFreedReservedWorkers(): readonly WorkerNode[] {
        return this.freedReservedWorkers;
    }

    /** Returns the reserved workers to examine and clears the list. */
    public takeFreedReservedWorkers(): readonly WorkerNode[] {
        if (this.freedReservedWorkers.length === 0) {
            return NO_WORKERS;
        }
        const workers = this.freedReservedWorkers;
        this.freedReservedWorkers = [];
        return workers;
    }

    /** Records a task as running on a worker and allocates its resources. */
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

    /** Starts the next waiting task of a group on a worker. */
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

    /** Removes a running task, with its duplicates on other workers, and releases the resources. */
    public release(task: RunningTask): void {
        this.running.delete(task.taskId);
        task.group.running.delete(task.taskId);
        for (let copy: RunningTask | undefined = task; copy !== undefined; copy = copy.duplicate) {
            this.releaseCopy(copy);
        }
        if (task.group.team.parkedQueues.length > 0) {
            unparkAll(task.group.team.parkedQueues);
        }
        this.deleteIfDone(task.group);
    }

    /** Deletes a group that has no waiting, delayed or running tasks. */
    public deleteIfDone(group: GroupState): void {
        if (group.isDone && this.groups.delete(group.definition.groupId)) {
            this.teams.queueOf(group).remove(group);
            this.shapes.release(group.shape);
        }
    }

    /** Rejects a group with a reason; its running tasks stay recorded until they end. */
    public reject(group: GroupState, reason: string): void {
        group.withdrawn = true;
        group.clearWaiting();
        this.teams.queueOf(group).remove(group);
        this.decisions.push({ kind: DecisionKind.Reject, groupId: group.definition.groupId, reason });
        this.deleteIfDone(group);
    }

    /** Adds a decision for the caller to carry out. */
    public addDecision(decision: Decision): void {
        this.decisions.push(decision);
    }

    /** Returns the pending decisions and clears them. */
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
        this.capacityGained(copy.worker);
    }
}
