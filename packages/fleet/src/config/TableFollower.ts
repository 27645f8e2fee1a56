import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { type RowChange, type RowStore, StoreFailureKind } from "../ports/RowStore.js";
import { FreshnessClock } from "./FreshnessClock.js";
import { readTable } from "./readTable.js";

/** Table to follow and the timing of its long polls. */
export interface TableFollowerOptions {
    readonly table: string;
    readonly partition: string;
    /** Time for which the store holds a call open while there is no change, unless the data is older than it should be. */
    readonly waitMs: number;
    /** Minimum time between the starts of two calls. */
    readonly minIntervalMs: number;
    /** Called when changes could not be applied; the table is read in full again. */
    readonly onError: (error: unknown) => void;
}

/** Changed rows or, if `whole` is set, all rows of the partition, which replace the earlier ones. */
export interface TableChanges {
    readonly whole: boolean;
    readonly changes: readonly RowChange[];
}

/** A call times out this long after the end of its long poll: five round trips between regions. */
const REPLY_TIMEOUT_MS = 500;
/** The delay after a failed call grows by this much with each consecutive failure, up to the maximum. */
const RETRY_DELAY_MS = 60;
const MAX_RETRY_DELAY_MS = 300;
/**
 * The table is read in full once more this long after the start, or after a full read for another reason: a change may
 * become visible late, with a version that is lower than the one already read.
 */
const SNAPSHOT_REREAD_DELAY_MS = 1500;

/** Follows the change feed of a table, reads the table in full when its history is lost, and tracks the data's age. */
export class TableFollower implements Disposable {
    private readonly changed = new Emitter<TableChanges>();
    private readonly freshness: FreshnessClock;
    private version: number | undefined;
    private rereadAtMs: number | undefined;
    private stopped = false;
    private failures = 0;
    private lastRoundTripMs = 0;

    public readonly onChange = this.changed.event;

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly options: TableFollowerOptions
    ) {
        this.freshness = new FreshnessClock(timer);
    }

    /** Age of the data in ms; infinite before the first successful call. */
    public get ageMs(): number {
        return this.freshness.ageMs;
    }

    /** Number of failed calls since the last successful one. */
    public get consecutiveFailures(): number {
        return this.failures;
    }

    /** Duration of the last full read in ms; such a read does not long-poll. */
    public get roundTripMs(): number {
        return this.lastRoundTripMs;
    }

    /** Starts with a full read or, if a version is given, with the changes after it. */
    public start(afterVersion?: number): void {
        this.version = afterVersion;
        this.rereadAtMs = this.timer.nowMs() + SNAPSHOT_REREAD_DELAY_MS;
        void this.run();
    }

    public dispose(): void {
        this.stopped = true;
        this.changed.dispose();
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            const startedMs = this.timer.nowMs();
            const isReread = this.rereadAtMs !== undefined && startedMs >= this.rereadAtMs;
            const answered = await this.readNext(isReread);
            if (this.stopped) {
                return;
            }
            if (answered) {
                this.failures = 0;
            }
            else {
                this.failures++;
                await sleep(this.timer, Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * this.failures));
            }
            const pauseMs = startedMs + this.options.minIntervalMs - this.timer.nowMs();
            if (pauseMs > 0) {
                await sleep(this.timer, pauseMs);
            }
        }
    }

    private async readNext(isReread: boolean): Promise<boolean> {
        try {
            return this.version === undefined || isReread
                ? await this.readSnapshot(isReread)
                : await this.readChanges(this.version);
        }
        catch (error) {
            this.version = undefined;
            this.options.onError(error);
            return false;
        }
    }

    private async readSnapshot(isReread: boolean): Promise<boolean> {
        const { table, partition } = this.options;
        const sentAt = this.freshness.readClocks();
        const startedMs = this.timer.nowMs();
        const content = await readTable(this.store, table, partition, REPLY_TIMEOUT_MS * 2);
        if (content.isErr() || this.stopped) {
            return false;
        }
        const { rows, version } = content.value;
        this.lastRoundTripMs = this.timer.nowMs() - startedMs;
        this.version = Math.max(this.version ?? 0, version);
        this.rereadAtMs = isReread ? undefined : this.timer.nowMs() + SNAPSHOT_REREAD_DELAY_MS;
        this.freshness.confirm(sentAt);
        this.changed.fire({ whole: true, changes: rows });
        return true;
    }

    private async readChanges(version: number): Promise<boolean> {
        const { table, waitMs } = this.options;
        const sentAt = this.freshness.readClocks();
        // Known data that is older than after a call in time is confirmed at once.
        const { ageMs } = this;
        const pollMs = Number.isFinite(ageMs) && ageMs > waitMs + REPLY_TIMEOUT_MS ? 0 : waitMs;
        const result = await this.store.changes(table, version, pollMs, waitMs + REPLY_TIMEOUT_MS);
        if (this.stopped) {
            return false;
        }
        if (result.isErr()) {
            if (result.error.kind === StoreFailureKind.HistoryLost) {
                this.version = undefined;
                return true;
            }
            return false;
        }
        this.version = Math.max(version, result.value.version);
        this.freshness.confirm(sentAt);
        if (result.value.changes.length > 0) {
            this.changed.fire({ whole: false, changes: result.value.changes });
        }
        return true;
    }
}
