import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { ok, type Result } from "neverthrow";
import { type FaultPlan, FaultSimulator } from "./FaultSimulator.js";
import { toServiceResult } from "./MemoryTableService.js";

/** Object store in memory, with simulated faults. */
export class MemoryObjectStore implements ObjectStore {
    private readonly objects = new Map<string, string>();
    private readonly faults: FaultSimulator;

    constructor(timer: TimerService) {
        this.faults = new FaultSimulator(timer);
    }

    /** Sets the faults of later calls. */
    public setFaultPlan(plan: FaultPlan): void {
        this.faults.setPlan(plan);
    }

    public async put(name: string, content: string): Promise<Result<void, StoreError>> {
        return toServiceResult(
            await this.faults.run("put", () => {
                this.objects.set(name, content);
                return ok(undefined);
            })
        );
    }

    public async get(name: string): Promise<Result<string | undefined, StoreError>> {
        return toServiceResult(await this.faults.run("get", () => ok(this.objects.get(name))));
    }

    public async remove(name: string): Promise<Result<void, StoreError>> {
        return toServiceResult(
            await this.faults.run("remove", () => {
                this.objects.delete(name);
                return ok(undefined);
            })
        );
    }
}
