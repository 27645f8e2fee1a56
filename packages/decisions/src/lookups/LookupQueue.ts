import { IndexedHeap, NOT_IN_HEAP } from "../base/IndexedHeap.js";
import { QuantileEstimator } from "../learning/QuantileEstimator.js";
import type { TeamQueue } from "./TeamQueue.js";

const MEAN_SMOOTHING = 0.01;

/** Queue of look-ups: teams that wait in it, least served first, and its learnt service time. */
export class LookupQueue {
    private readonly ready = new IndexedHeap<TeamQueue>((left, right) => isServedBefore(left, right));
    private readonly serviceTimes = new QuantileEstimator();
    private smoothedMeanMs: number | undefined;

    constructor(public readonly name: string) {}

    /** Mean service time, or undefined before any look-up finished. */
    public get meanServiceMs(): number | undefined {
        return this.smoothedMeanMs;
    }

    /** Returns the least served team's queue that may be served. */
    public peek(): TeamQueue | undefined {
        return this.ready.peek();
    }

    /** Puts a team's queue where its state belongs. */
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

    /** Learns from a look-up that succeeded. */
    public observe(serviceMs: number): void {
        this.serviceTimes.add(serviceMs);
        const mean = this.smoothedMeanMs ?? serviceMs;
        this.smoothedMeanMs = mean + MEAN_SMOOTHING * (serviceMs - mean);
    }

    /** Returns a quantile of the service time; zero before any look-up finished. */
    public serviceMs(quantile: number): number {
        return this.serviceTimes.quantile(quantile) ?? 0;
    }
}

/** Least served team first; the earlier deadline among equals. */
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
