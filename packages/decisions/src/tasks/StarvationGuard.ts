import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import { isServedBefore } from "../teams/FairQueue.js";
import type { PriorityClassQueue } from "../teams/PriorityClassQueue.js";
import type { ReservationPlanner } from "./ReservationPlanner.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";

/** Worker reserved for the first task of a queue. */
interface ReservedWorker {
    readonly queue: ShapeQueue;
    readonly worker: WorkerNode;
}

const MIN_RESERVABLE_WORKERS = 1;
const RECHECK_INTERVAL_MS = 100;
const RESERVE_INTERVAL_MS = 10;
const MAX_QUEUES_COMPARED = 32;

/** Reserves workers for large tasks of the least served teams, which small tasks would otherwise starve. */
export class StarvationGuard {
    private readonly reserved = new Map<WorkerNode, ReservedWorker>();
    private nextReserveAtMs = Number.NEGATIVE_INFINITY;
    private nextRecheckAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly state: SliceState,
        private readonly planner: ReservationPlanner,
        private readonly classQueue: PriorityClassQueue,
        private readonly options: TaskOptions
    ) {}

    /** Starts tasks on reserved workers that have enough free capacity, and reserves another worker when due. */
    public run(nowMs: number): void {
        for (const worker of this.state.peekFreedReservedWorkers()) {
            const reserved = this.reserved.get(worker);
            if (reserved !== undefined) {
                this.advance(reserved, nowMs);
            }
        }
        if (nowMs >= this.nextRecheckAtMs) {
            this.nextRecheckAtMs = nowMs + RECHECK_INTERVAL_MS;
            this.reserved.forEach(reserved => this.advance(reserved, nowMs));
        }
        this.reserveNext(nowMs);
    }

    private reserveNext(nowMs: number): void {
        if (nowMs < this.nextReserveAtMs) {
            return;
        }
        this.nextReserveAtMs = nowMs + RESERVE_INTERVAL_MS;
        const limit = Math.floor(this.state.fleet.acceptingWorkerCount * this.options.maxTaskReservedFraction);
        if (
            this.state.shapes.blockedShapes.size === 0 || this.reserved.size >= Math.max(MIN_RESERVABLE_WORKERS, limit)
        ) {
            return;
        }
        const queue = this.findStarved(nowMs);
        if (queue !== undefined) {
            this.reserve(queue, nowMs);
        }
    }

    private advance(reserved: ReservedWorker, nowMs: number): void {
        const { queue, worker } = reserved;
        const group = queue.peek();
        if (group === undefined || !worker.acceptsTasks || worker.reservation === undefined) {
            this.unreserve(reserved);
        }
        else if (worker.fits(queue.shape.resources) && queue.team.fitsUnreservedAllotment(queue.shape.resources)) {
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                this.classQueue.remove(group);
            }
            this.unreserve(reserved);
        }
    }

    /**
     * Returns the starved queue to serve next. Two teams within their fair share are ordered by the time when the group
     * has to start, other teams by how little they are served. Compares a bounded number of queues for each size.
     */
    private findStarved(nowMs: number): ShapeQueue | undefined {
        let best: ShapeQueue | undefined;
        for (const shape of this.state.shapes.blockedShapes) {
            const queues = this.classQueue.find(shape)?.values() ?? [];
            const count = Math.min(queues.length, MAX_QUEUES_COMPARED);
            for (let position = 0; position < count; position++) {
                const queue = queues[position]!;
                if (this.isStarved(queue, nowMs) && this.isBefore(queue, best)) {
                    best = queue;
                }
            }
        }
        return best;
    }

    private isBefore(queue: ShapeQueue, best: ShapeQueue | undefined): boolean {
        if (best === undefined) {
            return true;
        }
        const fairLevel = this.state.teams.fairLevel();
        if (queue.team.weightedShare <= fairLevel && best.team.weightedShare <= fairLevel) {
            return queue.headLatestStartAtMs < best.headLatestStartAtMs;
        }
        return isServedBefore(queue, best);
    }

    private isStarved(queue: ShapeQueue, nowMs: number): boolean {
        const waitedMs = nowMs - queue.peek()!.definition.submittedAtMs;
        return waitedMs >= this.options.taskReservationDelayMs
            && queue.team.fitsUnreservedAllotment(queue.shape.resources);
    }

    private reserve(queue: ShapeQueue, nowMs: number): void {
        const reservation = this.planner.planOne(queue.peek()!, nowMs);
        if (reservation === undefined) {
            return;
        }
        for (const worker of reservation.taskCounts.keys()) {
            this.state.reserve(worker, reservation);
            this.reserved.set(worker, { queue, worker });
        }
    }

    private unreserve(reserved: ReservedWorker): void {
        this.reserved.delete(reserved.worker);
        this.state.unreserve(reserved.worker);
    }
}
