import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import { unparkAll } from "../groups/ShapeRegistry.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import type { TeamLine } from "../teams/TeamLine.js";
import type { SliceState } from "./SliceState.js";

/** Places waiting tasks: the least served team first, on the worker that fits best. */
export class Placer {
    /** Queues to try again at the next decision. */
    private readonly deferred: ShapeQueue[] = [];

    constructor(private readonly state: SliceState) {}

    /** Lets the queues be tried again that were put off. */
    public begin(): void {
        unparkAll(this.deferred);
    }

    /** Starts what can start in one priority class. */
    public placeAll(line: PriorityLine, nowMs: number): void {
        for (let teamLine = line.peek(); teamLine !== undefined; teamLine = line.peek()) {
            this.placeNext(teamLine, nowMs);
        }
    }

    private placeNext(teamLine: TeamLine, nowMs: number): void {
        const queue = teamLine.peek()!;
        const group = queue.peek()!;
        if (queue.shape.blocked) {
            this.state.shapes.park(queue);
        }
        else if (group.isGang) {
            this.placeGang(queue, group, nowMs);
        }
        else {
            this.placeTask(queue, group, nowMs);
        }
    }

    private placeTask(queue: ShapeQueue, group: GroupState, nowMs: number): void {
        if (!group.team.hasRoom(group.shape.resources, 1)) {
            this.parkForAllotment(queue);
            return;
        }
        const worker = this.state.fleet.findBest(group.shape.resources, acceptAny);
        if (worker === undefined) {
            this.state.shapes.block(queue.shape);
            this.state.shapes.park(queue);
            return;
        }
        this.state.start(group.takeWaiting()!, group, worker, nowMs);
        this.removeWhenPlaced(queue, group);
    }

    private placeGang(queue: ShapeQueue, group: GroupState, nowMs: number): void {
        const demand = group.shape.resources;
        const workers: WorkerNode[] = [];
        if (group.team.hasRoom(demand, group.waitingCount)) {
            for (let place = 0; place < group.waitingCount; place++) {
                const worker = this.state.fleet.findBest(demand, acceptAny);
                if (worker === undefined) {
                    break;
                }
                this.state.fleet.take(worker, demand);
                workers.push(worker);
            }
        }
        for (const worker of workers) {
            this.state.fleet.give(worker, demand);
        }
        if (workers.length < group.waitingCount) {
            queue.line.park(queue);
            this.deferred.push(queue);
            return;
        }
        for (const worker of workers) {
            this.state.start(group.takeWaiting()!, group, worker, nowMs);
        }
        this.removeWhenPlaced(queue, group);
    }

    private removeWhenPlaced(queue: ShapeQueue, group: GroupState): void {
        if (group.waitingCount === 0) {
            queue.line.remove(group);
        }
    }

    private parkForAllotment(queue: ShapeQueue): void {
        queue.line.park(queue);
        queue.line.team.parkedQueues.push(queue);
    }
}

function acceptAny(): boolean {
    return true;
}
