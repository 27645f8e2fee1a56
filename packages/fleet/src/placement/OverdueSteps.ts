import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";
import type { PoolRoom } from "./PoolRoom.js";
import { objectiveMs, type RankedStep } from "./RankedStep.js";

/** A job is overdue after this multiple of its objective. */
const OVERDUE_FACTOR = 10;
/** Part of a pool for overdue jobs while there is too little room; one step may take more if none runs. */
const OVERDUE_SHARE = 0.05;
/** Time after which the next of the overdue steps comes first, since some may never be able to start. */
const TURN_MS = 1000;

/** Selects steps of jobs that have been useless for long, so that none waits for ever. */
export class OverdueSteps {
    /** Part of each pool that runs of overdue jobs take. */
    private readonly takenShare = new Map<PoolRoom, number>();

    constructor(
        private readonly fleet: FleetState,
        private readonly nowMs: number,
        private readonly pools: ReadonlyMap<string, PoolRoom>
    ) {
        for (const job of fleet.jobs.values()) {
            this.countRuns(job);
        }
    }

    /** Returns the steps of overdue jobs that come first; they take turns, in the order of their due times. */
    public select(ranked: readonly RankedStep[]): readonly RankedStep[] {
        const waiting = ranked.filter(each => this.overdueRatio(each.fromMs, each.dueMs) > OVERDUE_FACTOR);
        waiting.sort((left, right) => left.dueMs - right.dueMs);
        const first = Math.floor(this.nowMs / TURN_MS) % Math.max(1, waiting.length);
        const overdue = [...waiting.slice(first), ...waiting.slice(0, first)];
        return overdue.filter(({ step, queue }) => {
            const room = this.pools.get(queue.pool);
            if (!room?.canRun(step)) {
                return false;
            }
            const taken = this.takenShare.get(room) ?? 0;
            const share = room.shareOf(step, step.waitingCount);
            if (taken > 0 && taken + share > OVERDUE_SHARE) {
                return false;
            }
            this.takenShare.set(room, taken + share);
            return true;
        });
    }

    private countRuns(job: JobState): void {
        const queue = this.fleet.queue(job.spec.queue);
        const room = queue && this.pools.get(queue.pool);
        if (!room) {
            return;
        }
        const goalMs = objectiveMs(queue, job.criticalPathMs);
        for (const [occurrence, steps] of job.occurrences) {
            const fromMs = job.countsFromMs(occurrence, this.fleet.clockOffsetMs);
            if (this.overdueRatio(fromMs, fromMs + goalMs) <= OVERDUE_FACTOR) {
                continue;
            }
            for (const step of steps) {
                const runCount = step.spec.lasting ? 0 : step.tasks.length - step.waitingCount - step.doneCount;
                if (runCount > 0) {
                    this.takenShare.set(room, (this.takenShare.get(room) ?? 0) + room.shareOf(step, runCount));
                }
            }
        }
    }

    private overdueRatio(fromMs: number, dueMs: number): number {
        return (this.nowMs - fromMs) / Math.max(1, dueMs - fromMs);
    }
}
