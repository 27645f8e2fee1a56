import type { ObjectStore } from "@skylarkpath/common/platform/ObjectStore";
import type { StoreError } from "@skylarkpath/common/platform/StoreError";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { ok, type Result } from "neverthrow";
import { FaultGate, type FaultPlan } from "./FaultGate.js";
import { unwrap } from "./MemoryTableService.js";

/** Object store in memory with planned faults. */
export class MemoryObjectStore implements ObjectStore {
    private readonly objects = new Map<string, string>();
    private readonly gate: FaultGate;

    constructor(timer: TimerService) {
        this.gate = new FaultGate(timer);
    }

    /** Sets the faults of calls from now on. */
    public setFaultPlan(plan: FaultPlan): void {
        this.gate.setPlan(plan);
    }

    public async put(name: string, content: string): Promise<Result<void, StoreError>> {
        return unwrap(
            await this.gate.run("put", () => {
                this.objects.set(name, content);
                return ok(undefined);
            })
        );
    }

    public async get(name: string): Promise<Result<string | undefined, StoreError>> {
        return unwrap(await this.gate.run("get", () => ok(this.objects.get(name))));
    }

    public async remove(name: string): Promise<Result<void, StoreError>> {
        return unwrap(
            await this.gate.run("remove", () => {
                this.objects.delete(name);
                return ok(undefined);
            })
        );
    }
}
