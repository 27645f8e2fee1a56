import type { EventFields } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetState } from "../state/FleetState.js";
import type { JobState } from "../state/JobState.js";

/** Returns the fields of the log event of an ended job; times are in ms. */
export function describeEndedJob(
    job: JobState,
    fleet: FleetState,
    epoch: number,
    timer: TimerService
): EventFields {
    const { spec, phase, startedAtMs, acceptedAtMs, runCount, withinShare } = job;
    return {
        requestId: spec.id,
        state: phase,
        queue: spec.queue,
        team: spec.team,
        epoch,
        waitedMs: startedAtMs === undefined ? undefined : Math.round(startedAtMs - acceptedAtMs),
        totalMs: Math.round(timer.nowMs() - acceptedAtMs),
        estimatedMs: Math.round(job.criticalPathMs),
        expectedMs: Math.round(fleet.expectedPathMs(job)),
        runs: runCount,
        withinShare
    };
}
