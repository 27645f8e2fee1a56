import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import { sleep, type TimerService } from "@skylarkpath/common/time/TimerService";
import { type RowChange, type RowStore, StoreFailureKind } from "../ports/RowStore.js";
import { FreshnessClock } from "./FreshnessClock.js";
import { readTable } from "./readTable.js";

/** What is followed, and how often it is asked for. */
export interface FollowOptions {
    readonly table: string;
    readonly partition: string;
    /** A call waits this long for a change. */
    readonly waitMs: number;
    /** Least time between two calls. */
    readonly gapMs: number;
}

/** Rows that changed; a whole reading replaces all that was known. */
export interface FollowedChanges {
    readonly whole: boolean;
    readonly changes: readonly RowChange[];
}

/** A call that has not been answered this long after its wait is given up: five round trips between regions. */
const REPLY_TIMEOUT_MS = 500;
/** First pause after a failure, and the longest. */
const RETRY_MS = 60;
const LONGEST_RETRY_MS = 300;
/** A whole reading is repeated once after this time, for changes that became visible with an older version than it told. */
const REPEAT_WHOLE_MS = 1500;

/** Follows the changes of a table, reads it anew when its history is lost, and knows how old its knowledge is. */
export class TableFollower implements Disposable {
    private readonly changed = new Emitter<FollowedChanges>();
    private readonly freshness: FreshnessClock;
    private version: number | undefined;
    private repeatAtMs: number | undefined;
    private stopped = false;
    private failures = 0;
    private roundTrip = 0;

    public readonly onChange = this.changed.event;

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly options: FollowOptions
    ) {
        this.freshness = new FreshnessClock(timer);
    }

    /** Age of what is known; infinite before the first reading. */
    public get ageMs(): number {
        return this.freshness.ageMs;
    }

    /** Calls that failed since the last one that was answered. */
    public get failuresInRow(): number {
        return this.failures;
    }

    /** Time of the last reading whose reply did not have to wait. */
    public get roundTripMs(): number {
        return this.roundTrip;
    }

    /** Begins to follow; when a version is given, from there on. */
    public start(afterVersion?: number): void {
        this.version = afterVersion;
        this.repeatAtMs = this.timer.nowMs() + REPEAT_WHOLE_MS;
        void this.run();
    }

    public dispose(): void {
        this.stopped = true;
        this.changed.dispose();
    }

    private async run(): Promise<void> {
        while (!this.stopped) {
            const startedMs = this.timer.nowMs();
            const isRepeat = this.repeatAtMs !== undefined && startedMs >= this.repeatAtMs;
            const answered = this.version === undefined || isRepeat
                ? await this.readWhole(isRepeat)
                : await this.readChanges(this.version);
            if (this.stopped) {
                return;
            }
            if (answered) {
                this.failures = 0;
            }
            else {
                this.failures++;
                await sleep(this.timer, Math.min(LONGEST_RETRY_MS, RETRY_MS * this.failures));
            }
            const pauseMs = startedMs + this.options.gapMs - this.timer.nowMs();
            if (pauseMs > 0) {
                await sleep(this.timer, pauseMs);
            }
        }
    }

    private async readWhole(isRepeat: boolean): Promise<boolean> {
        const { table, partition } = this.options;
        const mark = this.freshness.mark();
        const startedMs = this.timer.nowMs();
        const content = await readTable(this.store, table, partition, REPLY_TIMEOUT_MS * 2);
        if (content.isErr() || this.stopped) {
            return false;
        }
        const { rows, version } = content.value;
        this.roundTrip = this.timer.nowMs() - startedMs;
        this.version = Math.max(this.version ?? 0, version);
        this.repeatAtMs = isRepeat ? undefined : this.timer.nowMs() + REPEAT_WHOLE_MS;
        this.freshness.confirm(mark);
        this.changed.fire({ whole: true, changes: rows });
        return true;
    }

    private async readChanges(version: number): Promise<boolean> {
        const { table, waitMs } = this.options;
        const mark = this.freshness.mark();
        const result = await this.store.changes(table, version, waitMs, waitMs + REPLY_TIMEOUT_MS);
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
        this.freshness.confirm(mark);
        if (result.value.changes.length > 0) {
            this.changed.fire({ whole: false, changes: result.value.changes });
        }
        return true;
    }
}
