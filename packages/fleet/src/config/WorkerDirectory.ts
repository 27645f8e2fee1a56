import { describeError } from "@skylarkpath/common/base/describeError";
import { type Disposable, DisposableStore } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { EVENTS } from "@skylarkpath/common/log/EventCatalogue";
import type { EventLog } from "@skylarkpath/common/log/EventLog";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import type { DirectorySchema } from "../ports/DirectorySchema.js";
import type { RowStore } from "../ports/RowStore.js";
import type { WorkerEntry } from "../ports/WorkerClient.js";
import { type TableChanges, TableFollower } from "./TableFollower.js";

const LONG_POLL_MS = 1000;
/** Limits the rate of calls, so that changes of many workers at the same time share one. */
const MIN_POLL_INTERVAL_MS = 250;

interface ReadEntry {
    readonly rowVersion: number;
    readonly entry: WorkerEntry;
}

/** Workers in the platform's directory table, kept up to date through its change feed. */
export class WorkerDirectory implements Disposable {
    private readonly disposables = new DisposableStore();
    private readonly follower: TableFollower;
    private readonly changed: Emitter<readonly WorkerEntry[]>;
    private entries = new Map<string, ReadEntry>();

    constructor(
        store: RowStore,
        private readonly timer: TimerService,
        private readonly schema: DirectorySchema,
        private readonly log: EventLog
    ) {
        const { partition, workerTable } = schema;
        this.changed = this.disposables.add(new Emitter<readonly WorkerEntry[]>());
        this.follower = this.disposables.add(
            new TableFollower(store, timer, {
                table: workerTable,
                partition,
                waitMs: LONG_POLL_MS,
                minIntervalMs: MIN_POLL_INTERVAL_MS,
                onError: error => log.write(EVENTS.processFailed, { reason: describeError(error) })
            })
        );
        this.disposables.add(this.follower.onChange(changes => this.apply(changes)));
    }

    /** Fires with all workers after each full read and each change. */
    public get onWorkers(): Emitter<readonly WorkerEntry[]>["event"] {
        return this.changed.event;
    }

    /** Age of the known entries in ms. */
    public get ageMs(): number {
        return this.follower.ageMs;
    }

    /** Starts to follow the table. */
    public start(): void {
        this.follower.start();
    }

    public dispose(): void {
        this.disposables.dispose();
    }

    private apply({ whole, changes }: TableChanges): void {
        const previous = this.entries;
        if (whole) {
            this.entries = new Map();
        }
        for (const change of changes) {
            const entry = change.value === undefined ? undefined : this.schema.decodeWorker(change.key, change.value);
            if (entry?.isOk()) {
                const known = previous.get(change.key);
                const isKnown = known?.rowVersion === change.version;
                this.entries.set(
                    change.key,
                    isKnown ? known : { rowVersion: change.version, entry: this.stamp(entry.value) }
                );
                continue;
            }
            if (entry?.isErr()) {
                this.log.write(EVENTS.entryUnreadable, { worker: change.key, reason: entry.error });
            }
            this.entries.delete(change.key);
        }
        this.changed.fire([...this.entries.values()].map(({ entry }) => entry));
    }

    /** Adds until when a worker may be slow after its start. */
    private stamp(entry: WorkerEntry): WorkerEntry {
        const { warmUpLeftMs = 0 } = entry;
        return warmUpLeftMs > 0 ? { ...entry, warmAtMs: this.timer.nowMs() + warmUpLeftMs } : entry;
    }
}
