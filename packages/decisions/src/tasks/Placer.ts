import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { ReplicaSpread } from "../groups/ReplicaSpread.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import { unparkAll } from "../groups/ShapeRegistry.js";
import type { TaskFailures } from "../groups/TaskFailures.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import type { TeamLine } from "../teams/TeamLine.js";
import type { SliceState } from "./SliceState.js";

/** Places waiting tasks: the least served team first, on the worker that fits best. */
export class Placer {
    /** Queues to try again at the next decision. */
    private readonly deferred: ShapeQueue[] = [];
    /** Failures of the task to place. */
    private failures: TaskFailures | undefined;
    private nowMs = 0;
    private spread: ReplicaSpread | undefined;
    private maxInRack = 0;

    constructor(private readonly state: SliceState, private readonly onUrgentBlocked: (queue: ShapeQueue) => void) {}

    /** Lets the queues be tried again that were put off. */
    public begin(): void {
        if (this.deferred.length > 0) {
            unparkAll(this.deferred);
        }
    }

    /** Starts what can start in one priority class. */
    public placeAll(line: PriorityLine, nowMs: number): void {
        this.nowMs = nowMs;
        for (let teamLine = line.peek(); teamLine !== undefined; teamLine = line.peek()) {
            this.placeNext(teamLine, nowMs);
        }
    }

    private placeNext(teamLine: TeamLine, nowMs: number): void {
        const queue = teamLine.peek()!;
        const group = queue.peek()!;
        const demand = queue.shape.resources;
        const isUrgent = group.group.urgent;
        const hasRoom = isUrgent ? group.team.hasRoom(demand, 1) : group.team.hasRoomBesideHeld(demand);
        if (!hasRoom) {
            this.parkForAllotment(queue, isUrgent);
            return;
        }
        const worker = this.findWorker(queue, group);
        if (worker === undefined) {
            this.parkForRoom(queue, isUrgent);
            return;
        }
        this.state.startNext(group, worker, nowMs);
        if (group.waitingCount === 0) {
            queue.line.remove(group);
        }
    }

    /** Returns the best worker; urgent work and services may take reserved ones. */
    private findWorker(queue: ShapeQueue, group: GroupState): WorkerNode | undefined {
        const demand = queue.shape.resources;
        const taskId = group.peekWaiting()!;
        this.failures = group.failuresOf(taskId);
        const open = queue.shape.blocked ? undefined : this.findOpen(group, demand);
        if (open !== undefined || !(group.group.urgent || group.isService)) {
            return open;
        }
        return this.state.fleet.findReserved(demand, this.isTakenFromGang);
    }

    private findOpen(group: GroupState, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        const spread = group.spread === undefined ? undefined : this.findSpread(group.spread, demand);
        return spread ?? fleet.findBest(demand, this.isNotAvoided);
    }

    /** Prefers racks with the fewest replicas, then workers without one. */
    private findSpread(spread: ReplicaSpread, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        this.spread = spread;
        this.maxInRack = spread.lowestOf(fleet.rackCount);
        const inRack = fleet.findBest(demand, this.isInSpareRack);
        if (inRack !== undefined) {
            return inRack;
        }
        this.maxInRack = Number.POSITIVE_INFINITY;
        return fleet.findBest(demand, this.isInSpareRack);
    }

    private parkForRoom(queue: ShapeQueue, isUrgent: boolean): void {
        if (this.failures === undefined && !queue.shape.blocked) {
            this.state.shapes.block(queue.shape);
        }
        if (isUrgent) {
            this.onUrgentBlocked(queue);
        }
        if (isUrgent || !queue.shape.blocked) {
            this.defer(queue);
        }
        else {
            this.state.shapes.park(queue);
        }
    }

    private parkForAllotment(queue: ShapeQueue, isUrgent: boolean): void {
        if (isUrgent) {
            this.onUrgentBlocked(queue);
        }
        queue.line.park(queue);
        queue.line.team.parkedQueues.push(queue);
    }

    private defer(queue: ShapeQueue): void {
        queue.line.park(queue);
        this.deferred.push(queue);
    }

    private readonly isNotAvoided = (worker: WorkerNode): boolean =>
        this.failures === undefined
        || this.state.fleet.openWorkerCount === 1
        || !this.failures.avoids(worker.workerId, this.nowMs);

    private readonly isTakenFromGang = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker) && worker.reservation!.group.isGang;

    private readonly isInSpareRack = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker)
        && !this.spread!.isOn(worker.workerId)
        && this.spread!.countInRack(worker.rack) <= this.maxInRack;
}
