import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { ReplicaSpread } from "../groups/ReplicaSpread.js";
import { type ShapeQueue, unparkAll } from "../groups/ShapeQueue.js";
import type { TaskFailures } from "../groups/TaskFailures.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import type { SliceState } from "./SliceState.js";

/** Places waiting tasks: the least served team first, on the worker that fits best. */
export class Placer {
    /** Queues to try again at the next decision. */
    private readonly deferred: ShapeQueue[] = [];
    /** Failures of the task to place. */
    private failures: TaskFailures | undefined;
    private nowMs = 0;
    private startsLeft = 0;
    private spread: ReplicaSpread | undefined;
    private maxInRack = 0;

    constructor(
        private readonly state: SliceState,
        private readonly maxStarts: number,
        private readonly onUrgentBlocked: (queue: ShapeQueue) => void
    ) {}

    /** The bound of starts was reached. */
    public get isExhausted(): boolean {
        return this.startsLeft <= 0;
    }

    /** Lets the queues be tried again that were put off. */
    public begin(): void {
        this.startsLeft = this.maxStarts;
        if (this.deferred.length > 0) {
            unparkAll(this.deferred);
        }
    }

    /** Starts what can start in one priority class. */
    public placeAll(line: PriorityLine, nowMs: number): void {
        this.nowMs = nowMs;
        let shapeLine = line.peek();
        while (shapeLine !== undefined && this.startsLeft > 0) {
            this.placeNext(shapeLine.peek()!);
            shapeLine = line.peek();
        }
    }

    /** Starts what found no open worker on workers reserved for others. */
    public placeOnReserved(line: PriorityLine): void {
        for (const shapeLine of line.all()) {
            for (let queue = shapeLine.peek(); queue !== undefined; queue = shapeLine.peek()) {
                if (!this.placeHeadOnReserved(queue)) {
                    break;
                }
            }
        }
    }

    /** Tells the preemptor of urgent work that found no room. */
    public reportUrgent(line: PriorityLine): void {
        for (const shapeLine of line.all()) {
            shapeLine.values().forEach(this.onUrgentBlocked);
        }
    }

    private placeNext(queue: ShapeQueue): void {
        const group = queue.peek()!;
        if (!this.hasRoom(queue)) {
            this.parkForAllotment(queue);
            return;
        }
        this.failures = group.failuresOf(group.peekWaiting()!);
        const worker = this.findOpen(group, queue.shape.resources);
        if (worker !== undefined) {
            this.start(queue, worker);
        }
        else if (this.failures === undefined) {
            this.state.shapes.block(queue.shape);
        }
        else {
            this.defer(queue);
        }
    }

    private placeHeadOnReserved(queue: ShapeQueue): boolean {
        if (!this.hasRoom(queue)) {
            return false;
        }
        this.failures = queue.peek()!.failuresOf(queue.peek()!.peekWaiting()!);
        const worker = this.state.fleet.findReserved(queue.shape.resources, this.isTakeable);
        if (worker !== undefined) {
            this.start(queue, worker);
        }
        return worker !== undefined;
    }

    private hasRoom(queue: ShapeQueue): boolean {
        const demand = queue.shape.resources;
        return queue.peek()!.definition.urgent ? queue.team.hasRoom(demand, 1) : queue.team.hasRoomBesideHeld(demand);
    }

    private start(queue: ShapeQueue, worker: WorkerNode): void {
        const group = queue.peek()!;
        this.startsLeft--;
        this.state.startNext(group, worker, this.nowMs);
        if (group.waitingCount === 0) {
            queue.shapeLine.line.remove(group);
        }
    }

    private findOpen(group: GroupState, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        if (group.spread !== undefined) {
            return this.findSpread(group.spread, demand) ?? fleet.findBest(demand, this.isNotAvoided);
        }
        const { candidates } = group.shape;
        if (candidates === undefined) {
            return fleet.findBest(demand, this.isNotAvoided);
        }
        return this.findAmong(candidates, demand);
    }

    /** Returns the fullest of the few workers that may have room, dropping those that have none. */
    private findAmong(candidates: WorkerNode[], demand: Resources): WorkerNode | undefined {
        let best: WorkerNode | undefined;
        for (let position = candidates.length - 1; position >= 0; position--) {
            const worker = candidates[position]!;
            if (!this.state.fleet.isOpen(worker) || !worker.fits(demand)) {
                candidates[position] = candidates.at(-1)!;
                candidates.pop();
            }
            else if (this.isNotAvoided(worker) && isFuller(worker, best)) {
                best = worker;
            }
        }
        return best;
    }

    /** Prefers racks with the fewest replicas, then workers without one. */
    private findSpread(spread: ReplicaSpread, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        this.spread = spread;
        this.maxInRack = spread.minPerRack(fleet.rackCount);
        const inRack = fleet.findBest(demand, this.isInSpareRack);
        if (inRack !== undefined) {
            return inRack;
        }
        this.maxInRack = Number.POSITIVE_INFINITY;
        return fleet.findBest(demand, this.isInSpareRack);
    }

    private parkForAllotment(queue: ShapeQueue): void {
        if (queue.peek()!.definition.urgent) {
            this.onUrgentBlocked(queue);
        }
        queue.shapeLine.line.park(queue);
        queue.team.parkedQueues.push(queue);
    }

    private defer(queue: ShapeQueue): void {
        queue.shapeLine.line.park(queue);
        this.deferred.push(queue);
    }

    private readonly isNotAvoided = (worker: WorkerNode): boolean =>
        this.failures === undefined
        || this.failures.workerIds.size >= this.state.fleet.openWorkerCount
        || !this.failures.shouldAvoid(worker.workerId, this.nowMs);

    private readonly isTakeable = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker) && !worker.reservation!.group.definition.urgent;

    private readonly isInSpareRack = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker)
        && !this.spread!.hasReplicaOn(worker.workerId)
        && this.spread!.countInRack(worker.rack) <= this.maxInRack;
}

function isFuller(worker: WorkerNode, other: WorkerNode | undefined): boolean {
    return other === undefined || worker.freeProcessorMillicores < other.freeProcessorMillicores;
}
