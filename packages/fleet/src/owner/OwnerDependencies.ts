import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { ProcessorMeter } from "@skylarkpath/common/time/ProcessorMeter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { ConfigDirectory } from "../config/ConfigDirectory.js";
import type { FleetTiming } from "../model/FleetTiming.js";
import type { SchedulingOptions } from "../model/SchedulingOptions.js";
import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { RowStore } from "../ports/RowStore.js";
import type { WorkerClient } from "../ports/WorkerClient.js";

/** Services and settings that an owner needs. */
export interface OwnerDependencies {
    readonly store: RowStore;
    readonly timer: TimerService;
    readonly workerClient: WorkerClient;
    readonly config: ConfigDirectory;
    readonly directorySchema: DirectorySchema;
    readonly timing: FleetTiming;
    readonly scheduling: SchedulingOptions;
    readonly log: EventLog;
    /** Event-loop delay of this process. */
    readonly loopDelayMs: () => number;
    readonly processorMeter: ProcessorMeter;
    /** Longest usual round-trip time to a worker. */
    readonly roundTripMs: number;
}
