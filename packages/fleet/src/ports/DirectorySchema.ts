import type { Result } from "neverthrow";
import type { FleetConfig } from "../model/FleetConfig.js";
import type { WorkerEntry } from "./WorkerClient.js";

/** Tables and keys of the platform's configuration and workers in the store, and decoders for their rows. */
export interface DirectorySchema {
    readonly configTable: string;
    readonly configKey: string;
    readonly workerTable: string;
    readonly partition: string;
    /** Returns the failure domain that is evacuated while the configuration's table has a row with this key, if any. */
    readonly evacuatedDomain: (configKey: string) => string | undefined;
    readonly decodeConfig: (text: string) => Result<FleetConfig, string>;
    readonly decodeWorker: (id: string, text: string) => Result<WorkerEntry, string>;
}
