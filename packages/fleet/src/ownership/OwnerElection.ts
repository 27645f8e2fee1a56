import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { type OwnerIdentity, type OwnerRow, parseOwnerRow } from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "../model/Tables.js";
import type { RowStore } from "../ports/RowStore.js";

/** Owner's row with its version; the row is undefined before the first owner. */
export interface VersionedOwnerRow {
    readonly row: OwnerRow | undefined;
    readonly version: number;
}

/** Result of a takeover that succeeded. */
export interface WonOwnership {
    readonly row: OwnerIdentity;
    readonly version: number;
    readonly previous: OwnerRow | undefined;
    /** The previous owner sends no more orders. */
    readonly previousStopped: boolean;
}

/** This process as a candidate for ownership. */
export interface Candidate {
    readonly holder: string;
    readonly address: string;
    /** Whether this process may own the fleet now. */
    readonly eligible: () => boolean;
    /** Added to the time before this process takes over, so that the most suitable candidate is first. */
    readonly delayMs: () => number;
}

/** Health of the owner, as observed apart from its row. */
export interface OwnerHealth {
    /** Whether it answers and confirms its row in time. */
    readonly healthy: () => boolean;
    /** Whether its port refuses connections. */
    readonly refused: () => boolean;
    /** Whether a process other than the holder replies at the owner's address. */
    readonly replaced: (holder: string) => boolean;
    /** Age in ms of its last confirmed write, as the owner itself reports it. */
    readonly unconfirmedMs: () => number;
    /** Its event-loop delay in ms, as it last reported it. */
    readonly loopDelayMs: () => number;
    /** Whether it has replied since its current calls began. */
    readonly alive: () => boolean;
}

/** An owner whose row has not changed for this long, while the store answers, counts as dead: two renewals. */
const OWNER_TIMEOUT_MS = 900;
/** The same as a multiple of the duration of a read: with a slow store, owners renew less often. */
const OWNER_TIMEOUT_READ_FACTOR = 6;
/** An owner that reports a last confirmed write of this age is replaced sooner, unless the store is slow. */
const REPORTED_UNCONFIRMED_AGE_MS = 700;
/** The same as a multiple of the duration of a read. */
const REPORTED_UNCONFIRMED_READ_FACTOR = 15;
/**
 * An overloaded owner confirms its row late, and its successor would have the same load and that of the takeover. Each
 * millisecond of its event-loop delay adds this much to the timeouts, up to the maximum.
 */
const TIMEOUT_PER_LOOP_DELAY = 8;
const MAX_LOOP_DELAY_ALLOWANCE_MS = 3000;
/** The maximum for an owner that has stopped replying. */
const MAX_SILENT_ALLOWANCE_MS = 800;
/** The timeouts double with each further replacement in a row, up to this factor. */
const MAX_REPLACEMENT_FACTOR = 8;
/**
 * Timeout for an owner whose port refuses connections. It has most likely ended, but a cut may refuse them as well, so
 * what it may still start is waited for all the same.
 */
const REFUSED_TIMEOUT_MS = 300;
/** Timeout for an owner that reports an unconfirmed row: enough to see that the store serves this process. */
const REPORTED_UNCONFIRMED_TIMEOUT_MS = 300;
/** Timeout for an owner at whose address another process replies. */
const REPLACED_TIMEOUT_MS = 100;
const POLL_INTERVAL_MS = 100;
/** Interval of the health check while the owner is healthy; its row is not read then. */
const HEALTHY_POLL_INTERVAL_MS = 100;
/** Reads that are further apart than this do not show that the row was unchanged in between. */
const MAX_READ_GAP_MS = 700;
const READ_TIMEOUT_MS = 500;
const COMMIT_TIMEOUT_MS = 800;
/** Other candidates wait this much longer for the process that the owner has named to take over. */
const HEIR_HEAD_START_MS = 400;

/** Watches the owner's row and takes over the fleet when the owner no longer confirms it. */
export class OwnerElection implements Disposable {
    private readonly rowChanged = new Emitter<VersionedOwnerRow>();
    private readonly won = new Emitter<WonOwnership>();
    private lastRead: VersionedOwnerRow | undefined;
    private unchangedSinceMs = 0;
    private lastReadAtMs = 0;
    private lastReadDurationMs = 0;
    private fastestReadMs = Number.POSITIVE_INFINITY;
    private pending: Disposable | undefined;
    private stopped = false;
    private polling = false;

    /** Fires when a read finds a new version of the owner's row. */
    public readonly onRowChanged = this.rowChanged.event;
    /** Fires when this process has become the owner. */
    public readonly onWon = this.won.event;

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly candidate: Candidate,
        private readonly ownerHealth: OwnerHealth
    ) {}

    /** Shortest duration of a read of the row so far, in ms. */
    public get minReadDurationMs(): number {
        return this.fastestReadMs;
    }

    /** Starts to watch the row. */
    public start(): void {
        this.schedulePoll(0);
    }

    /** Polls now instead of at the next interval. */
    public check(): void {
        if (!this.polling) {
            this.schedulePoll(0);
        }
    }

    public dispose(): void {
        this.stopped = true;
        this.pending?.dispose();
        this.rowChanged.dispose();
        this.won.dispose();
    }

    private schedulePoll(delayMs: number): void {
        this.pending?.dispose();
        if (!this.stopped) {
            this.pending = this.timer.after(delayMs, () => void this.poll());
        }
    }

    private async poll(): Promise<void> {
        if (this.lastRead?.row && !this.lastRead.row.released && this.ownerHealth.healthy()) {
            this.lastReadAtMs = 0;
            this.schedulePoll(HEALTHY_POLL_INTERVAL_MS);
            return;
        }
        this.polling = true;
        await this.readRow();
        this.polling = false;
        this.schedulePoll(POLL_INTERVAL_MS);
    }

    private async readRow(): Promise<void> {
        const place = { table: FleetTable.Ownership, partition: FLEET_PARTITION };
        const startedAtMs = this.timer.nowMs();
        const page = await this.store.read({ ...place, from: OWNER_KEY, limit: 1 }, READ_TIMEOUT_MS);
        if (page.isErr() || this.stopped) {
            return;
        }
        const nowMs = this.timer.nowMs();
        this.lastReadDurationMs = nowMs - startedAtMs;
        this.fastestReadMs = Math.min(this.fastestReadMs, this.lastReadDurationMs);
        const stored = page.value.rows.find(row => row.key === OWNER_KEY);
        const owner: VersionedOwnerRow = { row: stored && parseOwnerRow(stored.value), version: stored?.version ?? 0 };
        const isContinuous = nowMs - this.lastReadAtMs <= MAX_READ_GAP_MS;
        if (!isContinuous || owner.version !== this.lastRead?.version) {
            this.unchangedSinceMs = nowMs;
        }
        this.lastReadAtMs = nowMs;
        const hasChanged = owner.version !== this.lastRead?.version;
        this.lastRead = owner;
        if (hasChanged) {
            this.rowChanged.fire(owner);
        }
        if (this.candidate.eligible() && nowMs - this.unchangedSinceMs >= this.takeOverDelayMs(owner)) {
            await this.takeOver(owner);
        }
    }

    /** Returns for how long, in ms, the row must have been unchanged before this process takes over. */
    private takeOverDelayMs({ row }: VersionedOwnerRow): number {
        if (!row) {
            return this.candidate.delayMs();
        }
        const delayMs = this.delayAfter(row);
        if (row.released) {
            return row.heir === undefined ? 0 : delayMs;
        }
        if (this.ownerHealth.replaced(row.holder)) {
            return REPLACED_TIMEOUT_MS + delayMs;
        }
        if (this.ownerHealth.refused()) {
            return REFUSED_TIMEOUT_MS + delayMs;
        }
        const allowanceMs = this.overloadAllowanceMs;
        const factor = replacementFactor(row);
        const unconfirmedAgeMs = allowanceMs
            + Math.max(REPORTED_UNCONFIRMED_AGE_MS, this.lastReadDurationMs * REPORTED_UNCONFIRMED_READ_FACTOR);
        if (this.ownerHealth.unconfirmedMs() >= unconfirmedAgeMs * factor) {
            return REPORTED_UNCONFIRMED_TIMEOUT_MS + delayMs;
        }
        const timeoutMs = Math.max(OWNER_TIMEOUT_MS, this.lastReadDurationMs * OWNER_TIMEOUT_READ_FACTOR);
        return delayMs + (timeoutMs + allowanceMs) * factor;
    }

    /** Returns how much later than the process that the owner has named this one takes over, in ms. */
    private delayAfter({ heir }: OwnerRow): number {
        if (heir === this.candidate.holder) {
            return 0;
        }
        return this.candidate.delayMs() + (heir === undefined ? 0 : HEIR_HEAD_START_MS);
    }

    private get overloadAllowanceMs(): number {
        const maximumMs = this.ownerHealth.alive() ? MAX_LOOP_DELAY_ALLOWANCE_MS : MAX_SILENT_ALLOWANCE_MS;
        return Math.min(maximumMs, this.ownerHealth.loopDelayMs() * TIMEOUT_PER_LOOP_DELAY);
    }

    private async takeOver({ row: previousRow, version }: VersionedOwnerRow): Promise<void> {
        const rowKey = { table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY };
        const isPreviousStopped = !previousRow || previousRow.released || this.ownerHealth.replaced(previousRow.holder);
        const row: OwnerIdentity = {
            epoch: (previousRow?.epoch ?? 0) + 1,
            holder: this.candidate.holder,
            address: this.candidate.address,
            replacements: (previousRow?.replacements ?? 0) + (isPreviousStopped || this.ownerHealth.refused() ? 0 : 1)
        };
        const value: OwnerRow = { ...row, sequence: 0, released: false, workers: previousRow?.workers };
        const result = await this.store.commit(
            [{ ...rowKey, version }],
            [{ ...rowKey, value: JSON.stringify(value) }],
            COMMIT_TIMEOUT_MS
        );
        if (this.stopped) {
            return;
        }
        if (result.isOk()) {
            this.lastRead = { row: value, version: result.value };
            this.unchangedSinceMs = this.timer.nowMs();
            this.won.fire({ row, version: result.value, previous: previousRow, previousStopped: isPreviousStopped });
        }
    }
}

/** The first replacement after a stable owner is no reason to wait longer. */
function replacementFactor({ replacements = 0 }: OwnerRow): number {
    return Math.min(MAX_REPLACEMENT_FACTOR, 2 ** Math.max(0, replacements - 1));
}
