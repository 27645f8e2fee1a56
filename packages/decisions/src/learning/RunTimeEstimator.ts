import type { GroupState } from "../groups/GroupState.js";
import { ProfileRunTimes } from "./ProfileRunTimes.js";

const OVERDUE_FACTOR = 0.5;

/** Run time estimates by profile; declared durations are used until enough tasks have succeeded. */
export class RunTimeEstimator {
    private readonly profiles = new Map<string, ProfileRunTimes>();

    /** Returns the estimates of a profile, which are created when it is new. */
    public obtain(profile: string): ProfileRunTimes {
        let runTimes = this.profiles.get(profile);
        if (runTimes === undefined) {
            runTimes = new ProfileRunTimes();
            this.profiles.set(profile, runTimes);
        }
        return runTimes;
    }
}

/** Returns the median run time of a group's tasks, or the declared duration while there is no estimate. */
export function typicalRunTimeMs(group: GroupState): number {
    return group.runTimes.medianMs ?? group.definition.declaredDurationMs;
}

/**
 * Returns the 90th percentile of the run time of a group's tasks, or the declared duration while there is no estimate.
 * It is infinite for services, which run until stopped.
 */
export function conservativeRunTimeMs(group: GroupState): number {
    if (group.isService) {
        return Number.POSITIVE_INFINITY;
    }
    return group.runTimes.p90Ms ?? group.definition.declaredDurationMs;
}

/** Estimates how much longer a task runs; one past its estimate gets a fixed fraction of its elapsed time. */
export function remainingRunTimeMs(group: GroupState, elapsedMs: number): number {
    const conservativeMs = conservativeRunTimeMs(group);
    return elapsedMs < conservativeMs ? conservativeMs - elapsedMs : elapsedMs * OVERDUE_FACTOR;
}
