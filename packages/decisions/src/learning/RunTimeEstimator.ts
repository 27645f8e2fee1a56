import type { GroupState } from "../groups/GroupState.js";
import { ProfileRunTimes } from "./ProfileRunTimes.js";

const OVERDUE_FACTOR = 0.5;

/** Learns run times per profile; uses the declared ones until enough tasks ended. */
export class RunTimeEstimator {
    private readonly profiles = new Map<string, ProfileRunTimes>();

    /** Returns the run times of a profile. */
    public obtain(profile: string): ProfileRunTimes {
        let runTimes = this.profiles.get(profile);
        if (runTimes === undefined) {
            runTimes = new ProfileRunTimes();
            this.profiles.set(profile, runTimes);
        }
        return runTimes;
    }
}

/** Run time that half of the tasks of a group stay under. */
export function typicalRunTimeMs(group: GroupState): number {
    return group.runTimes.medianMs ?? group.group.declaredDurationMs;
}

/** Run time that nearly all tasks of a group stay under; services run until stopped. */
export function longRunTimeMs(group: GroupState): number {
    if (group.isService) {
        return Number.POSITIVE_INFINITY;
    }
    return group.runTimes.p90Ms ?? group.group.declaredDurationMs;
}

/** Time for which a task that has run so long is expected to go on. */
export function remainingRunTimeMs(group: GroupState, elapsedMs: number): number {
    const conservativeMs = longRunTimeMs(group);
    return elapsedMs < conservativeMs ? conservativeMs - elapsedMs : elapsedMs * OVERDUE_FACTOR;
}
