import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import { QuantileEstimator } from "../learning/QuantileEstimator.js";
import type { TeamQueue } from "./TeamQueue.js";

const MEAN_SMOOTHING = 0.01;

/** Queue of look-ups: its teams with waiting look-ups, least served first, and its measured service time. */
export class LookupQueue {
    private readonly ready = new IndexedHeap<TeamQueue>((left, right) => isServedBefore(left, right));
    private readonly serviceTimes = new QuantileEstimator();
    private smoothedMeanMs: number | undefined;

    constructor(public readonly name: string) {}

    /** Smoothed mean of the service time; undefined until a look-up has succeeded. */
    public get meanServiceMs(): number | undefined {
        return this.smoothedMeanMs;
    }

    /** Returns the queue of the least served team that has waiting look-ups and is below its slot limit. */
    public peek(): TeamQueue | undefined {
        return this.ready.peek();
    }

    /** Adds, reorders or removes a team's queue after its look-ups or its team's slots changed. */
    public refresh(teamQueue: TeamQueue): void {
        if (teamQueue.size === 0 || teamQueue.team.isAtLimit) {
            this.ready.remove(teamQueue);
        }
        else if (teamQueue.heapIndex === NOT_IN_HEAP) {
            this.ready.push(teamQueue);
        }
        else {
            this.ready.update(teamQueue);
        }
    }

    /** Records the service time of a look-up that succeeded. */
    public observe(serviceMs: number): void {
        this.serviceTimes.add(serviceMs);
        const mean = this.smoothedMeanMs ?? serviceMs;
        this.smoothedMeanMs = mean + MEAN_SMOOTHING * (serviceMs - mean);
    }

    /** Returns a quantile of the service time; zero until a look-up has succeeded. */
    public serviceQuantileMs(quantile: number): number {
        return this.serviceTimes.quantile(quantile) ?? 0;
    }
}

/** Orders by slots in use relative to the team's share, fewest first, then by the earlier deadline. */
export function isServedBefore(left: TeamQueue, right: TeamQueue): boolean {
    const difference = left.team.weightedSlotsInUse - right.team.weightedSlotsInUse;
    if (difference !== 0) {
        return difference < 0;
    }
    return deadlineOf(left) < deadlineOf(right);
}

function deadlineOf(queue: TeamQueue): number {
    return queue.peek()?.lookup.deadlineAtMs ?? Number.POSITIVE_INFINITY;
}
