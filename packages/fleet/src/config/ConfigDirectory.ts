import { describeError } from "@skylarkpath/common/base/describeError";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { FleetConfig } from "../model/FleetConfig.js";
import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { RowStore } from "../ports/RowStore.js";
import { EvacuatedDomains } from "./EvacuatedDomains.js";
import { type TableChanges, TableFollower } from "./TableFollower.js";

/** Long-poll duration. In normal operation the known API keys are at most this old, plus one reply. */
const LONG_POLL_MS = 900;
const MIN_LONG_POLL_MS = 100;
/** Share of the age that the data may have for which a long poll lasts at most. */
const LONG_POLL_SHARE = 1 / 3;

/**
 * Current configuration and evacuated failure domains with their age; only a higher version of the configuration replaces
 * it.
 */
export class ConfigDirectory implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly follower: TableFollower;
    private readonly changed: Emitter<FleetConfig>;
    private readonly evacuationsChanged: Emitter<void>;
    private readonly evacuations: EvacuatedDomains;
    private current: FleetConfig | undefined;

    constructor(
        store: RowStore,
        timer: TimerService,
        private readonly schema: DirectorySchema,
        private readonly log: EventLog,
        maximumAgeMs = Number.POSITIVE_INFINITY
    ) {
        const { partition, configTable } = schema;
        this.changed = this.disposables.add(new Emitter<FleetConfig>());
        this.evacuationsChanged = this.disposables.add(new Emitter<void>());
        this.evacuations = new EvacuatedDomains(schema);
        this.follower = this.disposables.add(
            new TableFollower(store, timer, {
                table: configTable,
                partition,
                waitMs: Math.min(LONG_POLL_MS, Math.max(MIN_LONG_POLL_MS, Math.floor(maximumAgeMs * LONG_POLL_SHARE))),
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

    /** Fires after the evacuated failure domains have changed. */
    public get onEvacuations(): Emitter<void>["event"] {
        return this.evacuationsChanged.event;
    }

    /** Evacuated failure domains, as of the last read; the set changes in place. */
    public get evacuatedDomains(): ReadonlySet<string> {
        return this.evacuations.current;
    }

    public get config(): FleetConfig | undefined {
        return this.current;
    }

    /** Age of the known configuration, its API keys and the evacuated failure domains in ms. */
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

    private apply(tableChanges: TableChanges): void {
        if (this.evacuations.apply(tableChanges)) {
            this.evacuationsChanged.fire();
        }
        for (const change of tableChanges.changes) {
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
