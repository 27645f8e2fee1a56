import type { FleetState } from "../state/FleetState.js";
import type { StepState } from "../state/StepState.js";

/** Processors that are expected to become free while permits hold, as a share of all. */
const TURNOVER_SHARE = 0.5;

/** Room for which permits are worth asking: a step that cannot start before they lapse is left out. */
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

    /** Takes the room of a step's waiting tasks; false when nothing was left before. */
    public consume(step: StepState): boolean {
        if (this.cpuMilli <= 0) {
            return false;
        }
        const { size } = step.spec;
        const waiting = step.waitingCount;
        const teamAllowance = this.fleet.teamRoom(step.job.spec.team, size);
        this.cpuMilli -= size.cpuMilli
            * Math.min(waiting, step.spec.gang && teamAllowance < waiting ? 0 : teamAllowance);
        return true;
    }
}
