import type { WorkerNode } from "../fleet/WorkerNode.js";
import type { ShapeQueue } from "../groups/ShapeQueue.js";
import type { PriorityLine } from "../teams/PriorityLine.js";
import { isServedBefore } from "../teams/ShapeLine.js";
import type { ReservationPlanner } from "./ReservationPlanner.js";
import type { SliceState } from "./SliceState.js";
import type { TaskOptions } from "./TaskOptions.js";

interface KeptPlace {
    readonly queue: ShapeQueue;
    readonly worker: WorkerNode;
}

const MIN_KEPT_WORKERS = 1;
const SWEEP_INTERVAL_MS = 100;
const KEEP_INTERVAL_MS = 10;
const MAX_QUEUES_COMPARED = 32;

/** Keeps workers for large tasks of the least served teams, which small tasks would pass by for ever. */
export class PlaceKeeper {
    private readonly kept = new Map<WorkerNode, KeptPlace>();
    private nextKeepAtMs = Number.NEGATIVE_INFINITY;
    private nextSweepAtMs = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly state: SliceState,
        private readonly planner: ReservationPlanner,
        private readonly line: PriorityLine,
        private readonly options: TaskOptions
    ) {}

    /** Starts tasks on kept workers that have room by now, and keeps a further worker when one is due. */
    public run(nowMs: number): void {
        for (const worker of this.state.peekReservedGains()) {
            const place = this.kept.get(worker);
            if (place !== undefined) {
                this.advance(place, nowMs);
            }
        }
        if (nowMs >= this.nextSweepAtMs) {
            this.nextSweepAtMs = nowMs + SWEEP_INTERVAL_MS;
            this.kept.forEach(place => this.advance(place, nowMs));
        }
        this.keepNext(nowMs);
    }

    private keepNext(nowMs: number): void {
        if (nowMs < this.nextKeepAtMs) {
            return;
        }
        this.nextKeepAtMs = nowMs + KEEP_INTERVAL_MS;
        const limit = Math.floor(this.state.fleet.openWorkerCount * this.options.maxKeptFraction);
        if (this.state.shapes.blockedShapes.size === 0 || this.kept.size >= Math.max(MIN_KEPT_WORKERS, limit)) {
            return;
        }
        const queue = this.findStarved(nowMs);
        if (queue !== undefined) {
            this.keep(queue, nowMs);
        }
    }

    private advance(place: KeptPlace, nowMs: number): void {
        const { queue, worker } = place;
        const group = queue.peek();
        if (group === undefined || !worker.takesTasks || worker.reservation === undefined) {
            this.drop(place);
        }
        else if (worker.fits(queue.shape.resources) && queue.team.hasRoomBesideHeld(queue.shape.resources)) {
            this.state.startNext(group, worker, nowMs);
            if (group.waitingCount === 0) {
                this.line.remove(group);
            }
            this.drop(place);
        }
    }

    /** Returns the queue with the latest start of the teams below their share, or else of the least served team. */
    private findStarved(nowMs: number): ShapeQueue | undefined {
        let best: ShapeQueue | undefined;
        for (const shape of this.state.shapes.blockedShapes) {
            const queues = this.line.find(shape)?.values() ?? [];
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
        return waitedMs >= this.options.keepPatienceMs && queue.team.hasRoomBesideHeld(queue.shape.resources);
    }

    private keep(queue: ShapeQueue, nowMs: number): void {
        const reservation = this.planner.planOne(queue.peek()!, nowMs);
        if (reservation === undefined) {
            return;
        }
        for (const worker of reservation.places.keys()) {
            this.state.reserve(worker, reservation);
            this.kept.set(worker, { queue, worker });
        }
    }

    private drop(place: KeptPlace): void {
        this.kept.delete(place.worker);
        this.state.unreserve(place.worker);
    }
}
