import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { type OwnedRow, type OwnerRow, readOwnerRow } from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "../model/Tables.js";
import type { RowStore } from "../ports/RowStore.js";

/** Row of the owner with its version; nothing stands there before the first owner. */
export interface VersionedOwnerRow {
    readonly row: OwnerRow | undefined;
    readonly version: number;
}

/** Won ownership. */
export interface WonOwnership {
    readonly row: OwnedRow;
    readonly version: number;
    readonly former: OwnerRow | undefined;
    /** The former owner gives no orders any more. */
    readonly formerEnded: boolean;
}

/** Who this process is in the election. */
export interface Candidate {
    readonly holder: string;
    readonly address: string;
    /** It knows all that an owner must know. */
    readonly eligible: () => boolean;
    /** Added to the time before this process takes over, so that the fittest is first. */
    readonly delayMs: () => number;
}

/** What else is known of the owner. */
export interface OwnerHealth {
    /** It answers and confirms its row. */
    readonly healthy: () => boolean;
    /** Its port refuses connections. */
    readonly refused: () => boolean;
    /** Another process than the holder replies at its address. */
    readonly replaced: (holder: string) => boolean;
    /** Time for which the owner has not confirmed its row, as it says itself. */
    readonly unconfirmedMs: () => number;
}

/** An owner whose row has not been confirmed for this long, while the store answers, is taken as dead: two renewals. */
const OWNER_TIMEOUT_MS = 900;
/** The same as a multiple of the time that the store takes for a reading: a slow one lets owners renew more rarely. */
const OWNER_TIMEOUT_READ_FACTOR = 6;
/** An owner that admits that it has not confirmed its row for this long is followed soon, unless the store is slow. */
const REPORTED_UNCONFIRMED_AGE_MS = 700;
const REPORTED_UNCONFIRMED_READ_FACTOR = 15;
/** The same for one whose port refuses connections. */
const REFUSED_TIMEOUT_MS = 300;
/** The same for one that admits that it can't confirm its row: time to see that the store serves this process. */
const REPORTED_UNCONFIRMED_TIMEOUT_MS = 300;
/** The same for one in whose place another process replies. */
const REPLACED_TIMEOUT_MS = 100;
const POLL_INTERVAL_MS = 100;
/** A healthy owner's row is read this often. */
const HEALTHY_POLL_INTERVAL_MS = 100;
/** Readings of the row that are further apart say nothing about the time between. */
const MAX_READ_GAP_MS = 700;
const READ_TIMEOUT_MS = 500;
const COMMIT_TIMEOUT_MS = 800;
/** Others leave the heir this much time to follow an owner that gave its place up. */
const SUCCESSOR_HEAD_START_MS = 400;

/** Watches the owner's row and takes the fleet over when its owner does not confirm it any more. */
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

    /** The row of the owner was read and had changed. */
    public readonly onSeen = this.rowChanged.event;
    /** This process owns the fleet now. */
    public readonly onWon = this.won.event;

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly candidate: Candidate,
        private readonly ownerHealth: OwnerHealth
    ) {}

    /** Shortest time that a reading of the row has taken. */
    public get fastestReadingMs(): number {
        return this.fastestReadMs;
    }

    /** Begins to watch. */
    public start(): void {
        this.schedulePoll(0);
    }

    /** Reads the row at once. */
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
        const owner: VersionedOwnerRow = { row: stored && readOwnerRow(stored.value), version: stored?.version ?? 0 };
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

    /** Time for which the row must have stood unchanged before this process takes over. */
    private takeOverDelayMs({ row }: VersionedOwnerRow): number {
        const delayMs = this.candidate.delayMs();
        if (!row) {
            return delayMs;
        }
        if (row.released) {
            return row.heir === undefined || row.heir === this.candidate.holder ? 0 : SUCCESSOR_HEAD_START_MS + delayMs;
        }
        if (this.ownerHealth.replaced(row.holder)) {
            return REPLACED_TIMEOUT_MS + delayMs;
        }
        if (
            this.ownerHealth.unconfirmedMs()
                >= Math.max(REPORTED_UNCONFIRMED_AGE_MS, this.lastReadDurationMs * REPORTED_UNCONFIRMED_READ_FACTOR)
        ) {
            return REPORTED_UNCONFIRMED_TIMEOUT_MS + delayMs;
        }
        return delayMs + (this.ownerHealth.refused()
            ? REFUSED_TIMEOUT_MS
            : Math.max(OWNER_TIMEOUT_MS, this.lastReadDurationMs * OWNER_TIMEOUT_READ_FACTOR));
    }

    private async takeOver({ row: previousRow, version }: VersionedOwnerRow): Promise<void> {
        const row = {
            epoch: (previousRow?.epoch ?? 0) + 1,
            holder: this.candidate.holder,
            address: this.candidate.address
        };
        const place = { table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY };
        const isPreviousStopped = !previousRow || previousRow.released || this.ownerHealth.refused()
            || this.ownerHealth.replaced(previousRow.holder);
        const value: OwnerRow = { ...row, sequence: 0, released: false, workers: previousRow?.workers ?? [] };
        const result = await this.store.commit(
            [{ ...place, version }],
            [{ ...place, value: JSON.stringify(value) }],
            COMMIT_TIMEOUT_MS
        );
        if (this.stopped) {
            return;
        }
        if (result.isOk()) {
            this.lastRead = { row: value, version: result.value };
            this.won.fire({ row, version: result.value, former: previousRow, formerEnded: isPreviousStopped });
        }
    }
}
