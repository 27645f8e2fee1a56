import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetState } from "../state/FleetState.js";

/** Workers that one entry is told; a question about a few tasks names a third of them. */
const CANDIDATES_PER_ENTRY = 30;
/** The workers with the most room, from which each entry is told others in turn. */
const SHARE_WITH_MOST_ROOM = 0.5;
/** An entry is told new candidates at least this much later than the previous ones. */
const UPDATE_INTERVAL_MS = 500;
const RANKING_INTERVAL_MS = 250;

/** Tells entries which workers have room, so that they can ask the placement policy about them on their own. */
export class WorkerCandidates {
    private readonly toldAtMs = new Map<string, number>();
    private rankedByPool: ReadonlyMap<string, readonly string[]> = new Map();
    private rankedAtMs = Number.NEGATIVE_INFINITY;
    private position = 0;

    constructor(private readonly fleet: FleetState, private readonly timer: TimerService) {}

    /** Returns workers by pool for an entry; undefined when it has been told some recently. */
    public next(entry: string): Readonly<Record<string, readonly string[]>> | undefined {
        const nowMs = this.timer.nowMs();
        if (nowMs - (this.toldAtMs.get(entry) ?? Number.NEGATIVE_INFINITY) < UPDATE_INTERVAL_MS) {
            return undefined;
        }
        this.toldAtMs.set(entry, nowMs);
        if (nowMs - this.rankedAtMs >= RANKING_INTERVAL_MS) {
            this.rankedByPool = this.rankWorkers(nowMs);
            this.rankedAtMs = nowMs;
        }
        const candidates: Record<string, readonly string[]> = {};
        for (const [pool, ranked] of this.rankedByPool) {
            const count = Math.min(CANDIDATES_PER_ENTRY, ranked.length);
            candidates[pool] = Array.from(
                { length: count },
                (...[, index]) => ranked[(this.position + index) % ranked.length]!
            );
        }
        this.position += CANDIDATES_PER_ENTRY;
        return candidates;
    }

    /** Forgets an entry. */
    public drop(entry: string): void {
        this.toldAtMs.delete(entry);
    }

    /** Returns the workers with the most free CPU, of the pools whose queues need permits. */
    private rankWorkers(nowMs: number): ReadonlyMap<string, readonly string[]> {
        const pools = new Set(this.fleet.config?.queues.filter(queue => queue.policy).map(queue => queue.pool));
        const rankedByPool = new Map<string, readonly string[]>();
        for (const pool of pools) {
            const usable = [...this.fleet.workers.values()]
                .filter(worker => worker.entry.pool === pool && worker.canStart(nowMs))
                .map(({ id, entry, used }) => ({ id, freeCpuMilli: entry.capacity.cpuMilli - used.cpuMilli }))
                .sort((left, right) => right.freeCpuMilli - left.freeCpuMilli);
            const count = Math.max(CANDIDATES_PER_ENTRY, Math.ceil(usable.length * SHARE_WITH_MOST_ROOM));
            rankedByPool.set(pool, usable.slice(0, count).map(({ id }) => id));
        }
        return rankedByPool;
    }
}
