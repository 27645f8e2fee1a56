import type { Resources } from "@skylarkpath/common/model/Resources";
import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { GroupState } from "../groups/GroupState.js";
import type { ReplicaSpread } from "../groups/ReplicaSpread.js";
import { type ShapeQueue, unparkAll } from "../groups/ShapeQueue.js";
import type { TaskFailures } from "../groups/TaskFailures.js";
import type { PriorityClassQueue } from "../teams/PriorityClassQueue.js";
import type { SliceState } from "./SliceState.js";

/** Places waiting tasks on the best fitting workers, the least served team first. */
export class Placer {
    /** Parked queues to retry at the next decision. */
    private readonly deferred: ShapeQueue[] = [];
    /** Earlier failures of the task being placed. */
    private failures: TaskFailures | undefined;
    private nowMs = 0;
    private remainingStarts = 0;
    private replicaSpread: ReplicaSpread | undefined;
    private maxReplicasInRack = 0;

    constructor(
        private readonly state: SliceState,
        private readonly maxStarts: number,
        private readonly onUrgentBlocked: (queue: ShapeQueue) => void
    ) {}

    /** Whether the limit of starts per decision is reached. */
    public get isExhausted(): boolean {
        return this.remainingStarts <= 0;
    }

    /** Begins a decision: resets the limit of starts and unparks deferred queues. */
    public begin(): void {
        this.remainingStarts = this.maxStarts;
        if (this.deferred.length > 0) {
            unparkAll(this.deferred);
        }
    }

    /** Starts the tasks of one priority class that fit on unreserved workers. */
    public placeAll(classQueue: PriorityClassQueue, nowMs: number): void {
        this.nowMs = nowMs;
        let fairQueue = classQueue.peek();
        while (fairQueue !== undefined && this.remainingStarts > 0) {
            this.placeNext(fairQueue.peek()!);
            fairQueue = classQueue.peek();
        }
    }

    /** Starts the remaining tasks of one priority class on workers reserved for non-urgent groups. */
    public placeOnReserved(classQueue: PriorityClassQueue): void {
        for (const fairQueue of classQueue.all()) {
            for (let queue = fairQueue.peek(); queue !== undefined; queue = fairQueue.peek()) {
                if (!this.placeHeadOnReserved(queue)) {
                    break;
                }
            }
        }
    }

    /** Reports queues of urgent work that could not be placed. */
    public reportUrgent(classQueue: PriorityClassQueue): void {
        for (const fairQueue of classQueue.all()) {
            fairQueue.values().forEach(this.onUrgentBlocked);
        }
    }

    private placeNext(queue: ShapeQueue): void {
        const group = queue.peek()!;
        if (!this.fitsAllotment(queue)) {
            this.parkForAllotment(queue);
            return;
        }
        this.failures = group.failuresOf(group.peekWaiting()!);
        const worker = this.findUnreserved(group, queue.shape.resources);
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
        if (!this.fitsAllotment(queue)) {
            return false;
        }
        this.failures = queue.peek()!.failuresOf(queue.peek()!.peekWaiting()!);
        const worker = this.state.fleet.findReserved(queue.shape.resources, this.isReservedForNonUrgent);
        if (worker !== undefined) {
            this.start(queue, worker);
        }
        return worker !== undefined;
    }

    private fitsAllotment(queue: ShapeQueue): boolean {
        const demand = queue.shape.resources;
        return queue.peek()!.definition.urgent
            ? queue.team.fitsAllotment(demand, 1)
            : queue.team.fitsUnreservedAllotment(demand);
    }

    private start(queue: ShapeQueue, worker: WorkerNode): void {
        const group = queue.peek()!;
        this.remainingStarts--;
        this.state.startNext(group, worker, this.nowMs);
        if (group.waitingCount === 0) {
            queue.fairQueue.classQueue.remove(group);
        }
    }

    private findUnreserved(group: GroupState, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        if (group.spread !== undefined) {
            return this.findForReplica(group.spread, demand) ?? fleet.findUnreserved(demand, this.isNotAvoided);
        }
        const { candidates } = group.shape;
        if (candidates === undefined) {
            return fleet.findUnreserved(demand, this.isNotAvoided);
        }
        return this.findAmongCandidates(candidates, demand);
    }

    /** Returns the candidate with the least free processor capacity, removing candidates that do not fit. */
    private findAmongCandidates(candidates: WorkerNode[], demand: Resources): WorkerNode | undefined {
        let best: WorkerNode | undefined;
        for (let position = candidates.length - 1; position >= 0; position--) {
            const worker = candidates[position]!;
            if (!this.state.fleet.isUnreserved(worker) || !worker.fits(demand)) {
                candidates[position] = candidates.at(-1)!;
                candidates.pop();
            }
            else if (this.isNotAvoided(worker) && hasLessFreeProcessor(worker, best)) {
                best = worker;
            }
        }
        return best;
    }

    /** Returns a worker without a replica, preferably in a rack with the fewest replicas. */
    private findForReplica(spread: ReplicaSpread, demand: Resources): WorkerNode | undefined {
        const { fleet } = this.state;
        this.replicaSpread = spread;
        this.maxReplicasInRack = spread.minPerRack(fleet.rackCount);
        const inSparsestRack = fleet.findUnreserved(demand, this.isSuitableForReplica);
        if (inSparsestRack !== undefined) {
            return inSparsestRack;
        }
        this.maxReplicasInRack = Number.POSITIVE_INFINITY;
        return fleet.findUnreserved(demand, this.isSuitableForReplica);
    }

    private parkForAllotment(queue: ShapeQueue): void {
        if (queue.peek()!.definition.urgent) {
            this.onUrgentBlocked(queue);
        }
        queue.fairQueue.classQueue.park(queue);
        queue.team.parkedQueues.push(queue);
    }

    private defer(queue: ShapeQueue): void {
        queue.fairQueue.classQueue.park(queue);
        this.deferred.push(queue);
    }

    private readonly isNotAvoided = (worker: WorkerNode): boolean =>
        this.failures === undefined
        || this.failures.workerIds.size >= this.state.fleet.acceptingWorkerCount
        || !this.failures.shouldAvoid(worker.workerId, this.nowMs);

    private readonly isReservedForNonUrgent = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker) && !worker.reservation!.group.definition.urgent;

    private readonly isSuitableForReplica = (worker: WorkerNode): boolean =>
        this.isNotAvoided(worker)
        && !this.replicaSpread!.hasReplicaOn(worker.workerId)
        && this.replicaSpread!.countInRack(worker.rack) <= this.maxReplicasInRack;
}

function hasLessFreeProcessor(worker: WorkerNode, other: WorkerNode | undefined): boolean {
    return other === undefined || worker.freeProcessorMillicores < other.freeProcessorMillicores;
}
