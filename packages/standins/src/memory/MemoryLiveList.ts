import type { LiveList, LiveMachine } from "@skylarkpath/common/platform/LiveList";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { ok, type Result } from "neverthrow";
import { type FaultPlan, FaultSimulator } from "./FaultSimulator.js";
import { toServiceResult } from "./MemoryTableService.js";

/** Live list in memory; a change becomes visible after a lag. */
export class MemoryLiveList implements LiveList {
    private readonly machines = new Map<string, LiveMachine>();
    private readonly faults: FaultSimulator;

    constructor(private readonly timer: TimerService, private readonly lagMs: number) {
        this.faults = new FaultSimulator(timer);
    }

    /** Sets the faults of later calls. */
    public setFaultPlan(plan: FaultPlan): void {
        this.faults.setPlan(plan);
    }

    /** Adds or replaces a machine at once. */
    public putNow(machine: LiveMachine): void {
        this.machines.set(machine.machineId, machine);
    }

    /** Adds or replaces a machine after the lag. */
    public put(machine: LiveMachine): void {
        this.timer.after(this.lagMs, () => this.machines.set(machine.machineId, machine));
    }

    /** Removes a machine after the lag, unless another incarnation has replaced it by then. */
    public remove(machine: LiveMachine): void {
        this.timer.after(this.lagMs, () => {
            if (this.machines.get(machine.machineId)?.incarnation === machine.incarnation) {
                this.machines.delete(machine.machineId);
            }
        });
    }

    public async read(): Promise<Result<readonly LiveMachine[], StoreError>> {
        return toServiceResult(await this.faults.run("live-list", () => ok([...this.machines.values()])));
    }
}
