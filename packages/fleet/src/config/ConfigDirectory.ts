import { describeError } from "@skylarkpath/common/base/describeError";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetConfig } from "../model/FleetConfig.js";
import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { RowStore } from "../ports/RowStore.js";
import { type TableChanges, TableFollower } from "./TableFollower.js";

/** Long-poll duration. In normal operation the known API keys are at most this old, plus one reply. */
const LONG_POLL_MS = 900;

/** Current configuration with its age; only a higher version replaces it. */
export class ConfigDirectory implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly follower: TableFollower;
    private readonly changed: Emitter<FleetConfig>;
    private current: FleetConfig | undefined;

    constructor(
        store: RowStore,
        timer: TimerService,
        private readonly schema: DirectorySchema,
        private readonly log: EventLog
    ) {
        const { partition, configTable } = schema;
        this.changed = this.disposables.add(new Emitter<FleetConfig>());
        this.follower = this.disposables.add(
            new TableFollower(store, timer, {
                table: configTable,
                partition,
                waitMs: LONG_POLL_MS,
                minIntervalMs: 0,
                onError: error => log.write(EVENTS.processFailed, { reason: describeError(error) })
            })
        );
        this.disposables.add(this.follower.onChange(changes => this.apply(changes)));
    }

    /** Fires when a higher version is adopted. */
    public get onConfig(): Emitter<FleetConfig>["event"] {
        return this.changed.event;
    }

    public get config(): FleetConfig | undefined {
        return this.current;
    }

    /** Age of the known configuration and its API keys in ms. */
    public get ageMs(): number {
        return this.follower.ageMs;
    }

    /** Round-trip time to the store in ms. */
    public get storeRoundTripMs(): number {
        return this.follower.roundTripMs;
    }

    /** Starts to follow the table. */
    public start(): void {
        this.follower.start();
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private apply({ changes }: TableChanges): void {
        for (const change of changes) {
            if (change.key !== this.schema.configKey || change.value === undefined) {
                continue;
            }
            const config = this.schema.decodeConfig(change.value);
            if (config.isErr()) {
                this.log.write(EVENTS.configRefused, { rowVersion: change.version, reason: config.error });
            }
            else if (!this.current || config.value.version > this.current.version) {
                this.current = config.value;
                this.log.write(EVENTS.configAdopted, { version: config.value.version });
                this.changed.fire(config.value);
            }
        }
    }
}
