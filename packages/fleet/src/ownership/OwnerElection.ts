import type { Disposable } from "@skylarkpath/common/base/Disposable";
import { Emitter } from "@skylarkpath/common/base/Emitter";
import type { TimerService } from "@skylarkpath/common/time/TimerService";
import { type OwnedRow, type OwnerRow, readOwnerRow } from "../model/OwnerRow.js";
import { FLEET_PARTITION, FleetTable, OWNER_KEY } from "../model/Tables.js";
import type { RowStore } from "../ports/RowStore.js";

/** Row of the owner with its version; nothing stands there before the first owner. */
export interface SeenOwner {
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
export interface OwnerSigns {
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
const TIMEOUT_READINGS = 6;
/** An owner that admits that it has not confirmed its row for this long is followed soon, unless the store is slow. */
const ADMITTED_AGE_MS = 700;
const ADMITTED_READINGS = 15;
/** The same for one whose port refuses connections. */
const REFUSED_TIMEOUT_MS = 300;
/** The same for one that admits that it can't confirm its row: time to see that the store serves this process. */
const ADMITTED_TIMEOUT_MS = 300;
/** The same for one in whose place another process replies. */
const REPLACED_TIMEOUT_MS = 100;
const POLL_INTERVAL_MS = 100;
/** A healthy owner's row is read this often. */
const HEALTHY_POLL_INTERVAL_MS = 100;
/** Readings of the row that are further apart say nothing about the time between. */
const LONGEST_READING_GAP_MS = 700;
const READ_TIMEOUT_MS = 500;
const COMMIT_TIMEOUT_MS = 800;
/** Others leave the heir this much time to follow an owner that gave its place up. */
const HEIR_LEAD_MS = 400;

/** Watches the owner's row and takes the fleet over when its owner does not confirm it any more. */
export class OwnerElection implements Disposable {
    private readonly seen = new Emitter<SeenOwner>();
    private readonly won = new Emitter<WonOwnership>();
    private last: SeenOwner | undefined;
    private unchangedSinceMs = 0;
    private readAtMs = 0;
    private readingMs = 0;
    private fastestMs = Number.POSITIVE_INFINITY;
    private pending: Disposable | undefined;
    private stopped = false;
    private polling = false;

    /** The row of the owner was read and had changed. */
    public readonly onSeen = this.seen.event;
    /** This process owns the fleet now. */
    public readonly onWon = this.won.event;

    constructor(
        private readonly store: RowStore,
        private readonly timer: TimerService,
        private readonly candidate: Candidate,
        private readonly signs: OwnerSigns
    ) {}

    /** Shortest time that a reading of the row has taken. */
    public get fastestReadingMs(): number {
        return this.fastestMs;
    }

    /** Begins to watch. */
    public start(): void {
        this.pollSoon(0);
    }

    /** Reads the row at once. */
    public check(): void {
        if (!this.polling) {
            this.pollSoon(0);
        }
    }

    public dispose(): void {
        this.stopped = true;
        this.pending?.dispose();
        this.seen.dispose();
        this.won.dispose();
    }

    private pollSoon(delayMs: number): void {
        this.pending?.dispose();
        if (!this.stopped) {
            this.pending = this.timer.after(delayMs, () => void this.poll());
        }
    }

    private async poll(): Promise<void> {
        if (this.last?.row && !this.last.row.released && this.signs.healthy()) {
            this.readAtMs = 0;
            this.pollSoon(HEALTHY_POLL_INTERVAL_MS);
            return;
        }
        this.polling = true;
        await this.readRow();
        this.polling = false;
        this.pollSoon(POLL_INTERVAL_MS);
    }

    private async readRow(): Promise<void> {
        const place = { table: FleetTable.Ownership, partition: FLEET_PARTITION };
        const startedMs = this.timer.nowMs();
        const page = await this.store.read({ ...place, from: OWNER_KEY, limit: 1 }, READ_TIMEOUT_MS);
        if (page.isErr() || this.stopped) {
            return;
        }
        const nowMs = this.timer.nowMs();
        this.readingMs = nowMs - startedMs;
        this.fastestMs = Math.min(this.fastestMs, this.readingMs);
        const stored = page.value.rows.find(row => row.key === OWNER_KEY);
        const owner: SeenOwner = { row: stored && readOwnerRow(stored.value), version: stored?.version ?? 0 };
        const isContinuous = nowMs - this.readAtMs <= LONGEST_READING_GAP_MS;
        if (!isContinuous || owner.version !== this.last?.version) {
            this.unchangedSinceMs = nowMs;
        }
        this.readAtMs = nowMs;
        const isNews = owner.version !== this.last?.version;
        this.last = owner;
        if (isNews) {
            this.seen.fire(owner);
        }
        if (this.candidate.eligible() && nowMs - this.unchangedSinceMs >= this.waitFor(owner)) {
            await this.takeOver(owner);
        }
    }

    /** Time for which the row must have stood unchanged before this process takes over. */
    private waitFor({ row }: SeenOwner): number {
        const delayMs = this.candidate.delayMs();
        if (!row) {
            return delayMs;
        }
        if (row.released) {
            return row.heir === undefined || row.heir === this.candidate.holder ? 0 : HEIR_LEAD_MS + delayMs;
        }
        if (this.signs.replaced(row.holder)) {
            return REPLACED_TIMEOUT_MS + delayMs;
        }
        if (this.signs.unconfirmedMs() >= Math.max(ADMITTED_AGE_MS, this.readingMs * ADMITTED_READINGS)) {
            return ADMITTED_TIMEOUT_MS + delayMs;
        }
        return delayMs + (this.signs.refused()
            ? REFUSED_TIMEOUT_MS
            : Math.max(OWNER_TIMEOUT_MS, this.readingMs * TIMEOUT_READINGS));
    }

    private async takeOver({ row: former, version }: SeenOwner): Promise<void> {
        const row = {
            epoch: (former?.epoch ?? 0) + 1,
            holder: this.candidate.holder,
            address: this.candidate.address
        };
        const place = { table: FleetTable.Ownership, partition: FLEET_PARTITION, key: OWNER_KEY };
        const formerEnded = !former || former.released || this.signs.refused() || this.signs.replaced(former.holder);
        const value: OwnerRow = { ...row, sequence: 0, released: false, workers: former?.workers ?? [] };
        const result = await this.store.commit(
            [{ ...place, version }],
            [{ ...place, value: JSON.stringify(value) }],
            COMMIT_TIMEOUT_MS
        );
        if (this.stopped) {
            return;
        }
        if (result.isOk()) {
            this.last = { row: value, version: result.value };
            this.won.fire({ row, version: result.value, former, formerEnded });
        }
    }
}
