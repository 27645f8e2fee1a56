import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";

/** CPU that is expected to become free while permits are valid, as a share of a worker's capacity. */
const TURNOVER_SHARE = 0.5;

/** Limits permit requests by CPU: no permits are requested for steps that could not start before these expire. */
export class CapacityBudget {
    private cpuMilli = 0;

    constructor(private readonly fleet: FleetState, nowMs: number) {
        for (const worker of fleet.workers.values()) {
            if (worker.canStart(nowMs)) {
                const { cpuMilli } = worker.entry.capacity;
                this.cpuMilli += Math.max(0, cpuMilli - worker.used.cpuMilli) + cpuMilli * TURNOVER_SHARE;
            }
        }
    }

    /**
     * Subtracts the waiting tasks of a step that its team's limit allows; returns false when the budget was used up
     * before.
     */
    public consume(step: StepState): boolean {
        if (this.cpuMilli <= 0) {
            return false;
        }
        const { size } = step.spec;
        const waiting = step.waitingCount;
        const teamAllowance = this.fleet.countWithinTeamLimit(step.job.spec.team, size);
        this.cpuMilli -= size.cpuMilli
            * Math.min(waiting, step.spec.gang && teamAllowance < waiting ? 0 : teamAllowance);
        return true;
    }
}
