import type { TaskGroup } from "@skylarkpath/common/scheduling/TaskScheduler";
import { GroupKind } from "@skylarkpath/common/scheduling/TaskScheduler";
import { QuantileEstimator } from "./QuantileEstimator.js";

interface ProfileRunTimes {
    readonly quantiles: QuantileEstimator;
    typicalMs: number;
    longMs: number;
    addedSinceUpdate: number;
}

const MIN_SAMPLES = 3;
const UPDATE_INTERVAL = 16;
const TYPICAL_QUANTILE = 0.5;
const LONG_QUANTILE = 0.9;
const OVERDUE_FACTOR = 0.5;

/** Learns run times per profile; uses the declared ones until enough tasks ended. */
export class RunTimeEstimator {
    private readonly profiles = new Map<string, ProfileRunTimes>();

    /** Learns from a task that succeeded. */
    public observe(profile: string, durationMs: number): void {
        let runTimes = this.profiles.get(profile);
        if (runTimes === undefined) {
            runTimes = { quantiles: new QuantileEstimator(), typicalMs: 0, longMs: 0, addedSinceUpdate: 0 };
            this.profiles.set(profile, runTimes);
        }
        runTimes.quantiles.add(durationMs);
        runTimes.addedSinceUpdate++;
        if (runTimes.quantiles.count <= UPDATE_INTERVAL || runTimes.addedSinceUpdate >= UPDATE_INTERVAL) {
            runTimes.addedSinceUpdate = 0;
            runTimes.typicalMs = runTimes.quantiles.quantile(TYPICAL_QUANTILE)!;
            runTimes.longMs = runTimes.quantiles.quantile(LONG_QUANTILE)!;
        }
    }

    /** Run time that half of the tasks stay under. */
    public typicalMs(group: TaskGroup): number {
        return this.learnt(group.profile)?.typicalMs ?? group.declaredDurationMs;
    }

    /** Run time that nearly all tasks stay under; services run until stopped. */
    public longMs(group: TaskGroup): number {
        if (group.kind === GroupKind.Service) {
            return Number.POSITIVE_INFINITY;
        }
        return this.learnt(group.profile)?.longMs ?? group.declaredDurationMs;
    }

    /** Time for which a task that has run so long is expected to go on. */
    public remainingMs(group: TaskGroup, elapsedMs: number): number {
        const longMs = this.longMs(group);
        return elapsedMs < longMs ? longMs - elapsedMs : elapsedMs * OVERDUE_FACTOR;
    }

    private learnt(profile: string): ProfileRunTimes | undefined {
        const runTimes = this.profiles.get(profile);
        return runTimes !== undefined && runTimes.quantiles.count >= MIN_SAMPLES ? runTimes : undefined;
    }
}
