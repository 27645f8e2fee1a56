import type { Result } from "neverthrow";
import type { FleetConfig } from "../model/FleetConfig.js";
import type { WorkerEntry } from "./WorkerCalls.js";

/** Where the platform keeps the configuration and the workers, and how to read them. */
export interface DirectorySource {
    readonly configTable: string;
    readonly configKey: string;
    readonly workerTable: string;
    readonly partition: string;
    readonly decodeConfig: (text: string) => Result<FleetConfig, string>;
    readonly decodeWorker: (id: string, text: string) => Result<WorkerEntry, string>;
}
