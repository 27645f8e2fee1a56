import type { Result } from "neverthrow";
import type { Resources } from "../model/Resources.js";
import type { StoreError } from "./StoreError.js";

/** What a VM of the live list does. */
export enum MachineRole {
    Entry = "entry",
    Worker = "worker",
    Target = "target"
}

/** VM that the live list names. */
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
    /** Targets only: requests served at once. */
    readonly slots?: number;
    /** Targets only: queues that the target answers; empty means all. */
    readonly queues?: readonly string[];
}

/** Lagging list of live and leaving VMs of the platform. */
export interface LiveList {
    read(): Promise<Result<readonly LiveMachine[], StoreError>>;
}
