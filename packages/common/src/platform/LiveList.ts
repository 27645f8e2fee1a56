import type { Result } from "neverthrow";
import type { Resources } from "../model/Resources.js";
import type { StoreError } from "./StoreError.js";

/** Role of a VM on the live list. */
export enum MachineRole {
    Entry = "entry",
    Worker = "worker",
    Target = "target"
}

/** VM on the live list. */
export interface LiveMachine {
    readonly machineId: string;
    readonly role: MachineRole;
    /** Address as `IP:PORT`. */
    readonly address: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly rack: string;
    /** Changes whenever the VM restarts or its address is reused. */
    readonly incarnation: string;
    readonly leaving: boolean;
    /** Workers only. */
    readonly capacity?: Resources;
    /** Workers only. */
    readonly workerClass?: string;
    /** Targets only: number of requests served concurrently. */
    readonly slots?: number;
    /** Targets only: queues that the target serves; empty means all. */
    readonly queues?: readonly string[];
}

/** The platform's list of live and leaving VMs; it lags behind their actual state. */
export interface LiveList {
    read(): Promise<Result<readonly LiveMachine[], StoreError>>;
}
